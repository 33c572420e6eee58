#include "testing/soak_stream_faults.h"

#include "testing/soak_engine.h"
#include "testing/support_router.h"

#include <iterator>
#include <random>

namespace burdockhold::testing {

namespace {

enum class response_framing { Chunked, Length, Neither };

class script_drawer
{
public:
    explicit script_drawer(std::uint64_t hash)
        : m_random(hash)
        , m_framing(static_cast<response_framing>(below(3)))
    {
    }

    std::size_t below(std::size_t bound) { return m_random() % bound; }

    void addEvents(const std::string &attemptId, int first, int last)
    {
        for (int number = first; number <= last; ++number)
            m_texts.push_back(soakEvent(attemptId, number) + "\n\n");
    }

    void fail()
    {
        constexpr const char *Errors[] = { "500 X", "502 X", "504 X", "400 X", "404 X" };
        m_script.status = Errors[below(std::size(Errors))];
        m_script.faulty = true;
        m_texts.emplace_back("error: the engine failed\n\n");
    }

    void setFaulty() { m_script.faulty = true; }

    /// Adds the framing. The response is complete.
    stream_script complete()
    {
        std::size_t length = 0;
        for (const std::string &text : m_texts) {
            length += text.size();
            m_script.pieces.push_back(m_framing == response_framing::Chunked ? chunk(text) : text);
        }
        if (m_framing == response_framing::Chunked)
            m_script.pieces.push_back(LastChunk);
        m_script.fields = m_framing == response_framing::Chunked ? "Transfer-Encoding: chunked"
                          : m_framing == response_framing::Length
                                  ? "Content-Length: " + std::to_string(length)
                                  : "Connection: close";
        m_script.keepsConnection = m_framing != response_framing::Neither;
        return m_script;
    }

    /// Adds the framing and breaks the response off before its end.
    stream_script broken()
    {
        complete();
        if (m_script.pieces.empty())
            return m_script;
        m_script.faulty = true;
        m_script.keepsConnection = false;
        const std::size_t way = below(m_framing == response_framing::Chunked ? 4 : 2);
        if (way >= 2) {
            m_script.pieces.resize(below(m_script.pieces.size()));
            m_script.pieces.push_back(way == 2 ? "zz\r\n" : std::string(LastChunk, 1 + below(3)));
            return m_script;
        }
        const bool insidePiece = cutAtAnyByte();
        // An orderly end after a whole event completes a response without a length and chunks.
        m_script.resets = way == 1 || (m_framing == response_framing::Neither && !insidePiece);
        return m_script;
    }

private:
    /// Returns true if the cut is inside a piece.
    bool cutAtAnyByte()
    {
        std::size_t total = 0;
        for (const std::string &piece : m_script.pieces)
            total += piece.size();
        std::size_t left = below(total);
        std::vector<std::string> pieces;
        for (std::size_t index = 0; left > 0; ++index) {
            pieces.push_back(m_script.pieces[index].substr(0, left));
            left -= pieces.back().size();
        }
        const bool inside = !pieces.empty() && pieces.back() != m_script.pieces[pieces.size() - 1];
        m_script.pieces = std::move(pieces);
        return inside;
    }

    std::mt19937_64 m_random;
    response_framing m_framing;
    std::vector<std::string> m_texts;
    stream_script m_script;
};

} // namespace

stream_script drawStream(std::uint64_t hash, const std::string &attemptId,
                         const std::string &lastEvent)
{
    script_drawer drawer(hash);
    const int last = lastEvent.empty() ? 0 : std::stoi(lastEvent);
    const std::size_t kind = last == 0 ? 7 : drawer.below(8);
    if (kind <= 2) {
        drawer.setFaulty();
        if (kind == 0)
            drawer.fail();
        else if (kind == 1)
            drawer.addEvents(attemptId, 1, last);
        return drawer.complete();
    }
    // Kind 3 repeats what was sent before.
    drawer.addEvents(attemptId, kind == 3 ? 1 : last + 1, soakEventCount(attemptId));
    return drawer.below(2) == 0 ? drawer.broken() : drawer.complete();
}

} // namespace burdockhold::testing
