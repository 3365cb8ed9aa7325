#include "base/heap.h"

#include <malloc.h>

namespace plantainpaddle {

namespace {

constexpr int large_block = 64 << 10;  // bytes

}  // namespace

void keep_heap_small() { ::mallopt(M_MMAP_THRESHOLD, large_block); }

void return_free_memory() { ::malloc_trim(0); }

}  // namespace plantainpaddle
