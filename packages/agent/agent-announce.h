/* Announcements of upstreams: declarations that the files of the task
 * "announce" share. */
#ifndef AGENT_ANNOUNCE_H
#define AGENT_ANNOUNCE_H

#include "agent.h"

/* An upstream that has announced itself. */
struct announced_upstream {
    char service[NAME_SIZE];
    char url[WIRE_TEXT_SIZE];
    int64_t slots;
    int64_t connections;
    int64_t lease_ms;
    int64_t lease_until;
    TAILQ_ENTRY(announced_upstream) entry;
};

/* Sends a JSON response and drops the caller's reference to body. */
void Announce_Reply(struct http_exchange *ex, int status, json_t *body);
/* Sends an error response that names the wrong key and the allowed values. */
void Announce_Refuse(struct http_exchange *ex, int status, const char *key,
                     const char *allowed);
/* Reads the body of an announcement into u, except for the service, which is
 * in the path. Returns false after it has sent an error response. */
bool Announce_Read(struct http_exchange *ex, const json_t *o,
                   struct announced_upstream *u);

#endif
