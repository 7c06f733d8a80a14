/* Authenticates clients of listening links with keys; private to the links. */
#ifndef WIRE_ZAP_H
#define WIRE_ZAP_H

#include "base.h"

#include <ev.h>

struct zap;

/* Starts a ZAP handler (ZeroMQ RFC 27) for one context, which decides on the
 * clients that connect. NULL on failure. */
struct zap *Zap_New(void *zmq, struct ev_loop *loop);
void Zap_Free(struct zap *zap);

#endif
