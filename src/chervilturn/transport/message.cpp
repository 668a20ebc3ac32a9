// Classification of messages as control or call traffic.
#include "chervilturn/transport/message.hpp"

namespace chervilturn {

bool is_control(const message& item) noexcept {
    return !std::holds_alternative<call>(item) && !std::holds_alternative<answer>(item);
}

} // namespace chervilturn
