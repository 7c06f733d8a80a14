/* Validates untrusted bytes before msgpack unpacks them; private to the codec.
 */
#ifndef WIRE_GUARD_H
#define WIRE_GUARD_H

#include "base.h"

/* Most items of one array that a reader accepts. */
#define WIRE_ITEMS_MAX 65536

/* ERR_OK, or ERR_INVALID for bytes that msgpack can't unpack safely. */
int Wire_Guard(const void *data, size_t len);

#endif
