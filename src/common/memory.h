// The memory of the process as the operating system counts it.
#pragma once

#include <malloc.h>

namespace delivery {

// Returns memory that was freed to the operating system, which otherwise counts it as used. To be called
// after large temporary data, such as a parsed endpoint list.
inline void returnFreeMemory() {
  (void)::malloc_trim(0);
}

}  // namespace delivery
