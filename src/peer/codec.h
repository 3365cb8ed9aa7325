// Peers' messages to and from their Cap'n Proto form. Reading checks sizes and ranges.
#pragma once

#include "base/error.h"
#include "peer/messages.h"
#include "peer/wire.capnp.h"

namespace plantainpaddle {

void write_request(const peer_request& request, wire::Request::Builder to);
void write_reply(const peer_reply& reply, wire::Reply::Builder to);
void write_identity(const peer_identity& identity, wire::Identity::Builder to);
result<peer_request> read_request(wire::Request::Reader from);
result<peer_reply> read_reply(wire::Reply::Reader from);
peer_identity read_identity(wire::Identity::Reader from);

}  // namespace plantainpaddle
