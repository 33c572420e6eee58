#include "burdockhold/token_bucket.h"

#include <algorithm>

namespace burdockhold {

token_bucket::token_bucket(const token_bucket_options &options, time_point now)
    : m_options(options)
    , m_level(options.startFull ? options.capacity : 0.0)
    , m_time(now)
{
}

std::optional<reservation_id> token_bucket::take(double tokens, time_point now)
{
    advance(now);
    if (!(tokens >= 0.0) || tokens > m_level)
        return std::nullopt;
    m_level -= tokens;
    const reservation_id id = ++m_last;
    m_reservations.emplace(id, tokens);
    if (m_reservations.size() > m_options.maxReservations)
        m_reservations.erase(m_reservations.begin());
    dropUnneededSegments();
    m_segments.push_back({ id, m_options.capacity - m_level });
    if (m_segments.size() > m_options.maxSegments)
        mergeSegments();
    return id;
}

double token_bucket::giveBack(reservation_id id, double tokens, time_point now)
{
    advance(now);
    const auto reservation = m_reservations.find(id);
    if (reservation == m_reservations.end() || !(tokens > 0.0))
        return 0.0;
    const double wanted = std::min(tokens, reservation->second);
    auto first = std::upper_bound(
            m_segments.begin(), m_segments.end(), id,
            [](reservation_id wantedId, const segment &s) { return wantedId < s.first; });
    if (first == m_segments.begin())
        return 0.0;
    --first;
    double headroom = m_options.capacity - m_level;
    for (auto s = first; s != m_segments.end(); ++s)
        headroom = std::min(headroom, s->minHeadroom);
    const double restored = std::clamp(headroom, 0.0, wanted);
    for (auto s = first; s != m_segments.end(); ++s)
        s->minHeadroom -= restored;
    m_level += restored;
    reservation->second -= wanted;
    return restored;
}

void token_bucket::close(reservation_id id)
{
    m_reservations.erase(id);
}

void token_bucket::setLimits(double rate, double capacity, time_point now)
{
    advance(now);
    m_options.rate = rate;
    m_options.capacity = capacity;
    m_level = std::min(m_level, capacity);
    noteHeadroom();
}

void token_bucket::drain(time_point now)
{
    advance(now);
    m_level = 0.0;
    m_reservations.clear();
    m_segments.clear();
}

double token_bucket::level(time_point now)
{
    advance(now);
    return m_level;
}

void token_bucket::advance(time_point now)
{
    if (now <= m_time)
        return;
    m_level = std::min(m_options.capacity, m_level + m_options.rate * toSeconds(now - m_time));
    m_time = now;
    noteHeadroom();
}

void token_bucket::noteHeadroom()
{
    if (m_segments.empty())
        return;
    double &least = m_segments.back().minHeadroom;
    least = std::min(least, m_options.capacity - m_level);
}

void token_bucket::dropUnneededSegments()
{
    const reservation_id oldest = m_reservations.begin()->first;
    while (m_segments.size() > 1 && m_segments[1].first <= oldest)
        m_segments.pop_front();
}

void token_bucket::mergeSegments()
{
    std::deque<segment> merged;
    for (std::size_t i = 0; i + 1 < m_segments.size(); i += 2) {
        const double least = std::min(m_segments[i].minHeadroom, m_segments[i + 1].minHeadroom);
        merged.push_back({ m_segments[i].first, least });
    }
    if (m_segments.size() % 2 == 1)
        merged.push_back(m_segments.back());
    m_segments = std::move(merged);
}

} // namespace burdockhold
