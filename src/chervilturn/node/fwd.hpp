// Forward declarations of module node: the node and its tasks.
#pragma once

namespace chervilturn {

struct node_context;
struct node_protocols;
class caller_protocol;
class backend_protocol;
class entry_call;
class entry_task;
class backend_client;
class backend_probe;
class key_resolver;
struct resolved_call;
class owner_state;
class owner_task;
class server_reports;
class peer_client_task;
class peer_server_task;
class settings_exchange;
class settings_followers;
class settings_mirror;
class settings_reader;
class crash_reports_task;
class crash_watch;
class control_task;
class operators_task;
class node;

} // namespace chervilturn
