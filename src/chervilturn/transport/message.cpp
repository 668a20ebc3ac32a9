// Classification of messages.
#include "chervilturn/transport/message.hpp"

namespace chervilturn {

bool is_control(const message& sent) noexcept {
    return !std::holds_alternative<call>(sent) && !std::holds_alternative<answer>(sent);
}

} // namespace chervilturn
