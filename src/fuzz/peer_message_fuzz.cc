// Messages of the inner protocol as they come from the network: read or refused.
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstdint>
#include <cstring>
#include <vector>

#include "peer/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace plantainpaddle;
  std::vector<capnp::word> words(size / sizeof(capnp::word));
  std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
  const kj::ArrayPtr<const capnp::word> message(words.data(), words.size());
  // The library reports what is malformed as exceptions, which package peer catches.
  try {
    capnp::FlatArrayMessageReader reader(message);
    read_request(reader.getRoot<wire::Request>());
  } catch (const kj::Exception&) {
  }
  try {
    capnp::FlatArrayMessageReader reader(message);
    read_reply(reader.getRoot<wire::Reply>());
  } catch (const kj::Exception&) {
  }
  return 0;
}
