// Conversion of the messages that spread settings: digests, updates and their parts.
#pragma once

#include "chervilturn/transport/message.hpp"
#include "chervilturn/transport/wire.capnp.h"

namespace chervilturn::internal {

void write_digest(wire::Digest::Builder target, const subscription& outgoing);
[[nodiscard]] subscription read_digest(wire::Digest::Reader source);

void write_update(wire::Update::Builder target, const settings_update& outgoing);
[[nodiscard]] settings_update read_update(wire::Update::Reader source);

void write_comparison(wire::Comparison::Builder target, const comparison& outgoing);
[[nodiscard]] comparison read_comparison(wire::Comparison::Reader source);

void write_part(wire::UpdatePart::Builder target, const update_part& outgoing);
[[nodiscard]] update_part read_part(wire::UpdatePart::Reader source);

void write_receipt(wire::PartReceipt::Builder target, const part_receipt& outgoing);
[[nodiscard]] part_receipt read_receipt(wire::PartReceipt::Reader source);

} // namespace chervilturn::internal
