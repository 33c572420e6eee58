#include "burdockhold/load_controller.h"

#include "burdockhold/task_guard.h"

#include <cpprest/http_client.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr std::string_view Component = "load_controller";

// cpprest reports a failure to connect only by this text.
constexpr std::string_view ConnectFailurePrefix = "Failed to connect";

std::shared_ptr<http_client> makeClient(const std::string &url, duration timeout)
{
    http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    try {
        return std::make_shared<http_client>(web::uri(url), config);
    } catch (const std::exception &) {
        return nullptr;
    }
}

poll_outcome outcomeOf(const std::exception &error)
{
    const auto *http = dynamic_cast<const web::http::http_exception *>(&error);
    if (http != nullptr && http->error_code() == std::errc::timed_out)
        return poll_outcome::TimedOut;
    const std::string text = error.what();
    const bool refused = text.compare(0, ConnectFailurePrefix.size(), ConnectFailurePrefix) == 0;
    return refused ? poll_outcome::Refused : poll_outcome::Failed;
}

poll_result readAnswer(const pplx::task<std::string> &body, time_point sentAt)
{
    poll_result answer;
    answer.sentAt = sentAt;
    try {
        const auto load = parseLoad(body.get());
        if (isOk(load)) {
            answer.outcome = poll_outcome::Reported;
            answer.load = valueOf(load);
        }
    } catch (const std::exception &error) {
        answer.outcome = outcomeOf(error);
    } catch (...) {
        answer.outcome = poll_outcome::Failed;
    }
    return answer;
}

/// Sends one poll. done is called exactly once, on another thread or this one.
void sendPoll(const std::shared_ptr<http_client> &client, const pplx::cancellation_token &cancelled,
              const std::function<void(const poll_result &)> &done)
{
    const time_point sentAt = steadyNow();
    poll_result failed;
    failed.sentAt = sentAt;
    if (client == nullptr)
        return done(failed);
    try {
        // The client is kept until the answer is there.
        client->request(web::http::methods::GET, "/load", cancelled)
                .then([](const http_response &response) { return response.extract_string(true); })
                .then([client, sentAt, done](const pplx::task<std::string> &body) {
                    runStep(Component, "", [&] { done(readAnswer(body, sentAt)); });
                });
    } catch (const std::exception &) {
        done(failed);
    }
}

void noteResult(endpoint_load &state, const poll_result &answer)
{
    state.lastPoll = answer.outcome;
    if (answer.outcome != poll_outcome::Reported) {
        ++state.failedPolls;
        return;
    }
    state.failedPolls = 0;
    state.load = answer.load;
    state.asOf = answer.sentAt;
}

} // namespace

class load_controller::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(load_controller_options options, blackboard &board, poll_listener listener)
        : m_options(options)
        , m_board(board)
        , m_listener(std::move(listener))
        , m_random(options.seed)
    {
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable())
            m_thread.join();
        m_cancel.cancel();
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait(lock, [this] { return m_open == 0; });
    }

private:
    struct engine
    {
        std::string url;
        std::shared_ptr<http_client> client;
        time_point due{};
        bool open = false;
        endpoint_load state;
    };

    struct poll
    {
        std::string name;
        std::string url;
        std::shared_ptr<http_client> client;
    };

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopped) {
            std::vector<poll> due;
            const bool whole = runStep(Component, "", [&] {
                takeCatalogue();
                takeDue(steadyNow(), due);
                publish();
            });
            lock.unlock();
            for (const poll &next : due)
                start(next);
            lock.lock();
            m_wake.wait_until(lock, whole ? nextWake() : steadyNow() + FailedRoundDelay,
                              [this] { return m_stopped; });
        }
    }

    /// Follows the catalogue: engines that were removed or moved to another URL start anew.
    void takeCatalogue()
    {
        const auto config = m_board.config.read();
        if (config->offset == m_offset)
            return;
        m_offset = config->offset;
        std::map<std::string, engine> kept;
        for (const auto &[name, entry] : config->endpoints) {
            if (entry.value.role != endpoint_role::Engine)
                continue;
            const auto known = m_engines.find(name);
            if (known != m_engines.end() && known->second.url == entry.value.url)
                kept[name] = std::move(known->second);
            else
                kept[name].url = entry.value.url;
        }
        m_engines = std::move(kept);
        m_changed = true;
    }

    void takeDue(time_point now, std::vector<poll> &due)
    {
        for (auto &[name, polled] : m_engines) {
            if (m_open >= m_options.maxOpenPolls)
                break;
            if (polled.open || polled.due > now)
                continue;
            if (polled.client == nullptr)
                polled.client = makeClient(polled.url, m_options.timeout);
            due.push_back({ name, polled.url, polled.client });
            polled.open = true;
            polled.due = now + withJitter();
            ++m_open;
        }
    }

    duration withJitter()
    {
        std::uniform_real_distribution<double> part(1.0 - m_options.jitter, 1.0 + m_options.jitter);
        return fromSeconds(toSeconds(m_options.interval) * part(m_random));
    }

    /// Wakes a few times per interval, which bounds the lateness of polls and of what is published.
    time_point nextWake() const { return steadyNow() + m_options.interval / WakesPerInterval; }

    void start(const poll &next)
    {
        auto self = shared_from_this();
        sendPoll(next.client, m_cancel.get_token(),
                 [self, name = next.name, url = next.url](const poll_result &answer) {
                     self->onAnswer(name, url, answer);
                 });
    }

    void onAnswer(const std::string &name, const std::string &url, const poll_result &answer)
    {
        runStep(Component, "", [&] { report(name, url, answer); });
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            --m_open;
        }
        m_wake.notify_all();
    }

    void report(const std::string &name, const std::string &url, const poll_result &answer)
    {
        bool known = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto found = m_engines.find(name);
            known = !m_stopped && found != m_engines.end() && found->second.url == url;
            if (known)
                note(found->second, answer);
        }
        if (known)
            m_listener(name, answer);
    }

    void note(engine &polled, const poll_result &answer)
    {
        polled.open = false;
        if (answer.outcome != poll_outcome::Reported)
            polled.client.reset();
        noteResult(polled.state, answer);
        m_changed = true;
    }

    void publish()
    {
        if (!m_changed)
            return;
        m_changed = false;
        endpoint_loads loads;
        for (const auto &[name, polled] : m_engines)
            loads.byEndpoint[name] = polled.state;
        m_board.loads.publish(std::move(loads));
    }

    static constexpr int WakesPerInterval = 5;

    load_controller_options m_options;
    blackboard &m_board;
    poll_listener m_listener;
    pplx::cancellation_token_source m_cancel;
    std::mutex m_mutex; ///< Guards all below but the thread.
    std::condition_variable m_wake;
    std::mt19937 m_random;
    std::map<std::string, engine> m_engines;
    log_offset m_offset = 0;
    std::size_t m_open = 0;
    bool m_changed = false;
    bool m_stopped = false;
    std::thread m_thread;
};

load_controller::load_controller(load_controller_options options, blackboard &board,
                                 poll_listener listener)
    : m_impl(std::make_shared<impl>(options, board, std::move(listener)))
{
    m_impl->start();
}

load_controller::~load_controller()
{
    stop();
}

void load_controller::stop()
{
    m_impl->stop();
}

void probeLoad(const std::string &url, duration timeout,
               const std::function<void(const poll_result &)> &done)
{
    sendPoll(makeClient(url, timeout), pplx::cancellation_token::none(), done);
}

} // namespace burdockhold
