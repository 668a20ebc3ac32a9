// Names that module node offers: the tasks of one node and the node itself.
#pragma once

namespace chervilturn {

struct node_context;
struct node_protocols;
class caller_protocol;
class backend_protocol;
class entry_call;
class entry_task;
class backend_caller;
class backend_probe;
class key_desk;
struct owned_place;
class owner_beliefs;
class owner_task;
class links_task;
class peer_server_task;
class control_task;
class operators_task;
class node;

} // namespace chervilturn
