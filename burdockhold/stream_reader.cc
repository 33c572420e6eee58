#include "burdockhold/stream_reader.h"

#include "burdockhold/task_guard.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace burdockhold {

namespace {

using buffer_type = concurrency::streams::streambuf<std::uint8_t>;

class reader : public std::enable_shared_from_this<reader>
{
public:
    reader(const buffer_type &buffer, stream_sink sink)
        : m_buffer(buffer)
        , m_sink(std::move(sink))
    {
    }

    // getn() on its own would wait until the requested count is there; waiting for one byte and
    // taking what is available with it delivers each piece as it arrives.
    void readNext()
    {
        guard([this] {
            m_buffer.bumpc().then(
                    [self = shared_from_this()](const pplx::task<buffer_type::int_type> &first) {
                        self->guard([&] { self->onFirst(first); });
                    });
        });
    }

private:
    /// Runs a step of the reading. One that fails ends it.
    template <typename Step>
    void guard(const Step &step)
    {
        if (!runStep(Component, "", step))
            end();
    }

    void end()
    {
        if (!m_ended.exchange(true))
            runStep(Component, "", m_sink.end);
    }

    void onFirst(const pplx::task<buffer_type::int_type> &first)
    {
        buffer_type::int_type byte = buffer_type::traits::eof();
        try {
            byte = first.get();
        } catch (const std::exception &) {
            byte = buffer_type::traits::eof();
        }
        if (byte == buffer_type::traits::eof()) {
            end();
            return;
        }
        const std::size_t more = std::min(m_buffer.in_avail(), MaxPieceBytes - 1);
        m_piece.assign(1 + more, static_cast<char>(byte));
        if (more == 0) {
            deliver(0);
            return;
        }
        auto self = shared_from_this();
        m_buffer.getn(reinterpret_cast<std::uint8_t *>(m_piece.data() + 1), more)
                .then([self](const pplx::task<std::size_t> &rest) {
                    std::size_t count = 0;
                    try {
                        count = rest.get();
                    } catch (const std::exception &) {
                        count = 0;
                    }
                    self->guard([&] { self->deliver(count); });
                });
    }

    void deliver(std::size_t more)
    {
        if (m_sink.bytes(std::string_view(m_piece).substr(0, 1 + more)))
            readNext();
        else
            end();
    }

    static constexpr std::string_view Component = "stream_reader";

    buffer_type m_buffer;
    stream_sink m_sink;
    std::atomic<bool> m_ended{ false };
    std::string m_piece;
};

} // namespace

void readStream(const buffer_type &buffer, stream_sink sink)
{
    std::make_shared<reader>(buffer, std::move(sink))->readNext();
}

} // namespace burdockhold
