// The allocator's free memory, which a process on a small machine gives back to the system.
//
//   keep_heap_small();      // at the start of the program
//   return_free_memory();   // after much has been freed
#pragma once

namespace plantainpaddle {

// Makes large blocks mappings of their own, which the system gets back when they are freed. By
// default the allocator raises the size from which it does so with each such block that is freed.
void keep_heap_small();

// Gives the system the free pages of the heap, also those below memory that is in use.
void return_free_memory();

}  // namespace plantainpaddle
