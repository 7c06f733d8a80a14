/* Who may speak on a link with keys; private to the links. */
#ifndef WIRE_ZAP_H
#define WIRE_ZAP_H

#include "base.h"

#include <ev.h>

struct zap;

/* Answers ZeroMQ's questions about clients of one context (ZAP, RFC 27). NULL
 * when it can't. */
struct zap *Zap_New(void *zmq, struct ev_loop *loop);
void Zap_Free(struct zap *zap);

#endif
