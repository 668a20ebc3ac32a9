// Parses the state chart of shutdowns that is embedded in the build.
#include "chervilturn/node/shutdown.hpp"

#include <cstdlib>

namespace chervilturn {

const shutdown_chart& default_shutdown_chart() {
    static const auto parsed = shutdown_chart::parse(chart_text::shutdown);
    if (!succeeded(parsed)) {
        std::abort();
    }
    return value_of(parsed);
}

} // namespace chervilturn
