#ifndef BURDOCKHOLD_SUPPORT_CROWD_H
#define BURDOCKHOLD_SUPPORT_CROWD_H

// Many connections of clients that misbehave all in the same way. Their receive buffers and
// segments are small, so that the kernel holds little of what they don't read.

#include <cstddef>
#include <string>
#include <vector>

namespace burdockhold::testing {

class client_crowd
{
public:
    /// Connects the given number of clients. Those that cannot connect are left out.
    client_crowd(const std::string &address, std::size_t clients);
    ~client_crowd();
    client_crowd(client_crowd &&other) noexcept = default;
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;
    client_crowd &operator=(client_crowd &&) = delete;

    /// Sends the bytes on each connection until all are sent, or none of the connections that are
    /// still open takes any more.
    void send(const std::string &bytes);

    /// Waits until each connection has received something or was closed, at most the given time in
    /// all. Reads nothing.
    void awaitAnswers(int milliseconds) const;

private:
    std::vector<int> m_descriptors;
};

} // namespace burdockhold::testing

#endif
