// The HTTP server for operators: readiness, status page, metrics, and explanation of selections.
#pragma once

#include "chervilturn/node/context.hpp"
#include "chervilturn/node/messages.hpp"
#include "chervilturn/transport/http.hpp"

namespace chervilturn {

/// @brief Serves GET /ready, GET /status, GET /metrics and GET /explain.
class operators_task {
  public:
    /// @brief ready_check returns whether the node serves calls, for GET /ready.
    operators_task(const node_context& context, std::function<bool()> ready_check);

    /// @brief Starts to listen on the operators' address. Fails when the address is not available.
    [[nodiscard]] result<success, transport_error> start();

  private:
    void on_request(const std::shared_ptr<http_exchange>& exchange);
    void respond_status(const std::shared_ptr<http_exchange>& exchange);
    void release(const std::shared_ptr<http_exchange>& exchange);
    void respond_explanation(const std::shared_ptr<http_exchange>& exchange);

    const node_context* context;
    std::function<bool()> is_ready;
    std::unique_ptr<http_server> server;
};

} // namespace chervilturn
