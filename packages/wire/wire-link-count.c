#include "wire-link-count.h"

#include <stdio.h>

static struct counter in_bytes = {"parsleyfall_link_in_bytes_total",
                                  "Bytes of messages received on links.", NULL,
                                  COUNTER_TOTAL};
static struct counter out_bytes = {"parsleyfall_link_out_bytes_total",
                                   "Bytes of messages sent on links.", NULL,
                                   COUNTER_TOTAL};
static struct counter in_messages = {"parsleyfall_link_in_messages_total",
                                     "Messages received on links.", NULL,
                                     COUNTER_TOTAL};
static struct counter out_messages = {"parsleyfall_link_out_messages_total",
                                      "Messages sent on links.", NULL,
                                      COUNTER_TOTAL};

#define TRAFFIC_LOG_MS 10000

/* Counters of one type of message in one direction; the labels are written at
 * the first message. */
static struct kind_counters {
    char labels[64];
    struct counter bytes;
    struct counter messages;
    int64_t logged_bytes; /* those that Link_LogTraffic() has logged */
    int64_t logged_messages;
} by_kind[2][WIRE_TYPE_LAST];

/* Names the counters of a type and direction. */
static void
name_counters(struct kind_counters *c, enum wire_type type,
              enum link_direction direction)
{
    snprintf(c->labels, sizeof(c->labels), "kind=\"%s\",direction=\"%s\"",
             Wire_TypeName(type), direction == LINK_IN ? "in" : "out");
    c->bytes =
        (struct counter){"parsleyfall_link_bytes_total",
                         "Bytes of messages on links, by kind of message.",
                         c->labels, COUNTER_TOTAL};
    c->messages = (struct counter){"parsleyfall_link_messages_total",
                                   "Messages on links, by kind of message.",
                                   c->labels, COUNTER_TOTAL};
}

/* Counts one message. */
void
LinkCount_Add(enum wire_type type, enum link_direction direction, size_t bytes)
{
    struct kind_counters *c = &by_kind[direction][type];

    if (c->labels[0] == '\0') {
        name_counters(c, type, direction);
    }
    Counter_Add(&c->bytes, (int64_t)bytes);
    Counter_Add(&c->messages, 1);
    Counter_Add(direction == LINK_IN ? &in_bytes : &out_bytes, (int64_t)bytes);
    Counter_Add(direction == LINK_IN ? &in_messages : &out_messages, 1);
}

/* Logs the traffic of one type in one direction since the last time. */
static void
log_kind(struct kind_counters *c, enum wire_type type,
         enum link_direction direction)
{
    int64_t bytes = c->bytes.value - c->logged_bytes;
    int64_t messages = c->messages.value - c->logged_messages;

    if (messages == 0) {
        return;
    }
    LOG_I("link_traffic", KV("kind", Wire_TypeName(type)),
          KV("direction", direction == LINK_IN ? "in" : "out"),
          KV_INT("bytes", bytes), KV_INT("messages", messages));
    c->logged_bytes += bytes;
    c->logged_messages += messages;
}

/* Logs what links have sent and received since the last time, but not often.
 */
void
Link_LogTraffic(int64_t now_ms)
{
    static int64_t next_ms;

    if (now_ms < next_ms) {
        return;
    }
    next_ms = now_ms + TRAFFIC_LOG_MS;
    for (int type = 0; type < WIRE_TYPE_LAST; type++) {
        log_kind(&by_kind[LINK_IN][type], type, LINK_IN);
        log_kind(&by_kind[LINK_OUT][type], type, LINK_OUT);
    }
}
