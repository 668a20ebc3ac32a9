// Forward declarations of module transport: event loop, mailboxes, peer connections and HTTP.
#pragma once

namespace chervilturn {

class event_loop;
class timer;
template<typename Message> class mailbox;
struct transport_error;
class peer_connection;
class peer_listener;
class outgoing_update;
class incoming_update;
class http_server;
class http_exchange;
class http_client;

} // namespace chervilturn
