// Forward declarations of module config: the node's settings file, the published settings tree and its
// compiled model.
#pragma once

namespace chervilturn {

struct settings_error;
struct node_settings;
struct leaf;
class team_compiler;
class host_compiler;
struct subtree_snapshot;
class settings_tree;
struct backend_server;
struct service;
struct workspace;
struct route;
struct route_table;
struct data_centre;
struct team;
struct host;
struct model;

} // namespace chervilturn
