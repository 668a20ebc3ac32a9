// Conversions of headers, bodies and methods.
#include "chervilturn/transport/http_internal.hpp"

#include <array>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace chervilturn::internal {

namespace {

struct named_method {
    const char* name;
    int bit;
};

constexpr std::array<named_method, 7> methods{{{"GET", EVHTTP_REQ_GET},
                                               {"POST", EVHTTP_REQ_POST},
                                               {"HEAD", EVHTTP_REQ_HEAD},
                                               {"PUT", EVHTTP_REQ_PUT},
                                               {"DELETE", EVHTTP_REQ_DELETE},
                                               {"OPTIONS", EVHTTP_REQ_OPTIONS},
                                               {"PATCH", EVHTTP_REQ_PATCH}}};

} // namespace

std::vector<header> read_headers(evkeyvalq* source) {
    std::vector<header> headers;
    for (const auto* item = source->tqh_first; item != nullptr; item = item->next.tqe_next) {
        headers.push_back({item->key, item->value});
    }
    return headers;
}

std::string take_body(evbuffer* source) {
    std::string body(evbuffer_get_length(source), '\0');
    evbuffer_remove(source, body.data(), body.size());
    return body;
}

void add_headers(evkeyvalq* target, const std::vector<header>& headers) {
    for (const auto& item : headers) {
        evhttp_add_header(target, item.name.c_str(), item.value.c_str());
    }
}

int method_bit(const std::string& name) noexcept {
    for (const auto& method : methods) {
        if (name == method.name) {
            return method.bit;
        }
    }
    return 0;
}

std::string method_name(int bit) {
    for (const auto& method : methods) {
        if (bit == method.bit) {
            return method.name;
        }
    }
    return "UNSUPPORTED";
}

int all_methods() noexcept {
    int bits = 0;
    for (const auto& method : methods) {
        bits |= method.bit;
    }
    return bits;
}

} // namespace chervilturn::internal
