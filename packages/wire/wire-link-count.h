/* Counts what links send and receive. */
#ifndef WIRE_LINK_COUNT_H
#define WIRE_LINK_COUNT_H

#include "wire.h"

enum link_direction { LINK_IN, LINK_OUT };

/* Counts one message of that type and its bytes. */
void LinkCount_Add(enum wire_type type, enum link_direction direction,
                   size_t bytes);

#endif
