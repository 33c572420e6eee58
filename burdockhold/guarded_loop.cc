#include "burdockhold/guarded_loop.h"

#include <exception>

namespace burdockhold {

void runGuarded(boost::asio::io_context &context,
                const std::function<void(const std::string &)> &report)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            report(error.what());
        } catch (...) {
            report("an exception of an unknown type");
        }
    }
}

} // namespace burdockhold
