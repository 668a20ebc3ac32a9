// The native protocols of callers and backend servers, as docs/PLATFORM.md describes them.
#pragma once

#include "chervilturn/node/protocol.hpp"

namespace chervilturn {

/// @brief Accepts requests for /TEAM/SERVICE/PATH with headers chervilturn-*.
class native_caller_protocol final : public caller_protocol {
  public:
    [[nodiscard]] result<accepted_request, request_error> read(const request_context& context,
                                                               http_request&& request) const override;
    [[nodiscard]] bool is_idempotent(const request_context& context,
                                     const http_request& request) const override;
    [[nodiscard]] std::string request_id(const http_request& request) const override;
    [[nodiscard]] http_response refuse(const request_error& error) const override;
    [[nodiscard]] http_response respond(answer&& ended, const answer_context& context) const override;
};

/// @brief Sends calls with headers chervilturn-*, and probes whose responses are JSON objects.
class native_backend_protocol final : public backend_protocol {
  public:
    [[nodiscard]] http_request request(const outgoing_call& outgoing) const override;
    [[nodiscard]] response_match match(const std::string& request_id,
                                       const http_response& response) const override;
    [[nodiscard]] backend_response read(const http_response& response) const override;
    [[nodiscard]] http_request probe(const std::string& path) const override;
    [[nodiscard]] std::optional<probe_report> read_probe(const http_response& response) const override;
};

} // namespace chervilturn
