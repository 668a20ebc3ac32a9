// Large settings updates are compressed and sent in parts, so that other messages on the same link wait for a
// part at most, never for the whole update.
#pragma once

#include "chervilturn/transport/codec.hpp"

#include <memory>
#include <optional>

namespace chervilturn {

/// @brief Bytes of an update that is sent in parts. Shared by all transfers of the same update.
using packed_update = std::shared_ptr<const std::string>;

/// @brief Packs an update for transfer.
[[nodiscard]] packed_update pack(const settings_update& update);

/// @brief Restores a packed update. Bytes that pack() did not make, or that make more than a frame may hold,
/// give an error.
[[nodiscard]] result<settings_update, codec_error> unpack(const std::string& packed);

/// @brief Most bytes of one part.
inline constexpr std::size_t update_part_bytes = 4096;

/// @brief Sender's side of one transfer. Two parts are on their way at most, whatever the buffers between the
/// nodes would take.
class outgoing_update {
  public:
    outgoing_update(std::uint64_t transfer_number, packed_update update, instant now)
        : number{transfer_number}, packed{std::move(update)}, progress_at{now} {}

    /// @brief Returns the next part if it may be sent now; call until it returns none.
    [[nodiscard]] std::optional<update_part> next_part();

    /// @brief The receiver has all bytes before a number. Ignores receipts of other transfers.
    void on_receipt(const part_receipt& receipt, instant now) noexcept;

    /// @brief Bytes that were sent and not reported as received.
    [[nodiscard]] std::size_t bytes_on_the_way() const noexcept { return this->sent - this->received; }

    /// @brief Time without a receipt, since the last one or the begin of the transfer.
    [[nodiscard]] microseconds silence(instant now) const noexcept { return elapsed(this->progress_at, now); }

    /// @brief Whether the receiver has the whole update.
    [[nodiscard]] bool is_complete() const noexcept { return this->received == this->packed->size(); }

    [[nodiscard]] std::size_t size() const noexcept { return this->packed->size(); }

  private:
    std::uint64_t number;
    packed_update packed;
    std::uint64_t sent = 0;     // bytes
    std::uint64_t received = 0; // bytes, according to the receiver; at most sent
    instant progress_at;
};

/// @brief Receiver's side of the transfers on one connection, which come one after the other.
class incoming_update {
  public:
    /// @brief Adds the next part. Returns the update if it is complete, nothing if parts are missing, and an
    /// error if the part does not follow the ones before it or the update cannot be restored.
    [[nodiscard]] result<std::optional<settings_update>, codec_error> add(const update_part& part,
                                                                          instant now);

    /// @brief What to report to the sender after a part was added.
    [[nodiscard]] part_receipt receipt() const noexcept { return {this->transfer, this->received}; }

    /// @brief Time since the first part of the transfer.
    [[nodiscard]] microseconds age(instant now) const noexcept { return elapsed(this->started_at, now); }

  private:
    std::uint64_t transfer = 0;
    std::uint64_t received = 0; // bytes of the transfer
    std::string packed;         // those bytes, until the update is complete
    instant started_at{};
};

} // namespace chervilturn
