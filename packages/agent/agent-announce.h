/* What the files of the task "announce" share. */
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

/* Replies with JSON and drops the reference to it. */
void Announce_Reply(struct http_exchange *ex, int status, json_t *body);
/* Refuses, naming the wrong key and what is allowed. */
void Announce_Refuse(struct http_exchange *ex, int status, const char *key,
                     const char *allowed);
/* Reads an announcement, all but the service; false after a refusal. */
bool Announce_Read(struct http_exchange *ex, const json_t *o,
                   struct announced_upstream *u);

#endif
