// Compression of updates with zlib, and their transfer in parts.
#include "chervilturn/transport/update_transfer.hpp"

#include <algorithm>
#include <new>
#include <utility>
#include <zlib.h>

namespace chervilturn {

namespace {

constexpr std::size_t parts_on_the_way = 2; // the link stays busy while a receipt travels
constexpr std::size_t max_packed_bytes = max_frame_bytes;
constexpr std::size_t inflate_step_bytes = 64 << 10;

/// @brief A zlib stream that is read to its end.
class inflater {
  public:
    inflater() { this->ready = inflateInit(&this->stream) == Z_OK; }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;
    ~inflater() {
        if (this->ready) {
            inflateEnd(&this->stream);
        }
    }

    [[nodiscard]] std::optional<std::string> inflate_all(const std::string& packed, std::size_t max_bytes) {
        std::string bytes;
        this->stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(packed.data()));
        this->stream.avail_in = static_cast<uInt>(packed.size());
        int status = this->ready ? Z_OK : Z_STREAM_ERROR;
        while (status == Z_OK && bytes.size() <= max_bytes) {
            const auto begin = bytes.size();
            bytes.resize(begin + inflate_step_bytes);
            this->stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + begin);
            this->stream.avail_out = static_cast<uInt>(inflate_step_bytes);
            status = inflate(&this->stream, Z_NO_FLUSH);
            bytes.resize(bytes.size() - this->stream.avail_out);
        }
        return status == Z_STREAM_END && bytes.size() <= max_bytes ? std::optional{std::move(bytes)}
                                                                   : std::nullopt;
    }

  private:
    z_stream stream{};
    bool ready = false;
};

} // namespace

packed_update pack(const settings_update& update) {
    const auto frame = encode(update);
    auto bytes = compressBound(static_cast<uLong>(frame.size()));
    auto packed = std::make_shared<std::string>(bytes, '\0');
    const auto status = compress2(reinterpret_cast<Bytef*>(packed->data()), &bytes,
                                  reinterpret_cast<const Bytef*>(frame.data()),
                                  static_cast<uLong>(frame.size()), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw std::bad_alloc{}; // the only failure that a buffer of compressBound() bytes leaves
    }
    packed->resize(bytes);
    return packed;
}

result<settings_update, codec_error> unpack(const std::string& packed) {
    const auto frame = inflater{}.inflate_all(packed, frame_header_bytes + max_frame_bytes);
    if (!frame || frame->size() < frame_header_bytes) {
        return codec_error{"packed update is no zlib stream of a frame"};
    }
    auto decoded = decode(std::as_bytes(std::span{*frame}).subspan(frame_header_bytes));
    if (!succeeded(decoded)) {
        return error_of(decoded);
    }
    auto unpacked = value_of(std::move(decoded));
    auto* update = std::get_if<settings_update>(&unpacked);
    if (update == nullptr) {
        return codec_error{"packed message is not an update"};
    }
    return std::move(*update);
}

std::optional<update_part> outgoing_update::next_part() {
    const auto total = this->packed->size();
    if (this->sent == total || this->bytes_on_the_way() >= parts_on_the_way * update_part_bytes) {
        return std::nullopt;
    }
    const auto length = std::min<std::size_t>(update_part_bytes, total - this->sent);
    update_part part{.transfer = this->number,
                     .offset = this->sent,
                     .total = total,
                     .bytes = this->packed->substr(this->sent, length)};
    this->sent += length;
    return part;
}

void outgoing_update::on_receipt(const part_receipt& receipt, instant now) noexcept {
    if (receipt.transfer == this->number) {
        this->progress_at = now;
        this->received = std::clamp(receipt.received, this->received, this->sent);
    }
}

result<std::optional<settings_update>, codec_error> incoming_update::add(const update_part& part,
                                                                         instant now) {
    if (part.offset == 0) {
        this->transfer = part.transfer;
        this->received = 0;
        this->packed.clear();
        this->started_at = now;
    }
    const bool follows = part.transfer == this->transfer && part.offset == this->received;
    if (!follows || part.bytes.empty() || part.total > max_packed_bytes ||
        part.offset + part.bytes.size() > part.total) {
        return codec_error{"part does not follow the earlier ones of its update"};
    }
    this->packed += part.bytes;
    this->received += part.bytes.size();
    if (this->received < part.total) {
        return std::optional<settings_update>{};
    }
    auto update = unpack(std::exchange(this->packed, {}));
    if (!succeeded(update)) {
        return error_of(update);
    }
    return std::optional{value_of(std::move(update))};
}

} // namespace chervilturn
