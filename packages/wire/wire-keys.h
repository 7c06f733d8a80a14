/* Who may connect to a listening link with keys. */
#ifndef WIRE_KEYS_H
#define WIRE_KEYS_H

#include "wire.h"

struct link_gate;

/* Starts to let in only who holds the same key pair. NULL when the context
 * has a gate already. */
struct link_gate *link_gate_new(void *zmq, struct ev_loop *loop,
                                const struct link_keys *keys);
void link_gate_free(struct link_gate *gate); /* NULL is fine */

#endif
