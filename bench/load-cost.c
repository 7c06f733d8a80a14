#include "policy.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DECISIONS 2000
#define SLOTS 8
#define ORGANISATIONS 87
#define WAITING 500 /* requests queued throughout */

/* Makes decisions for an instruction counter to count: upstreams, percent of
 * their slots that are taken. Prints how many it made. */
int
main(int argc, char **argv)
{
    int upstreams = argc > 1 ? atoi(argv[1]) : 11;
    int percent = argc > 2 ? atoi(argv[2]) : 50;
    struct admission_limits limits = {.capacity = upstreams * SLOTS};
    struct admission *a CLEANUP(Admission_FreeP) = Admission_New(&limits);
    struct route *r CLEANUP(Route_FreeP) = Route_New(NULL);
    struct route_request request = {"d0", 200, true, NULL, 0};
    char name[32], domain[32];
    int i, picked = 0;

    for (i = 0; i < upstreams; i++) {
        struct route_facts facts = {name, domain, SLOTS, 64};

        snprintf(name, sizeof(name), "w%d", i);
        snprintf(domain, sizeof(domain), "d%d", i % 3);
        Route_Upsert(r, &facts);
    }
    for (i = 0; i < upstreams * SLOTS * percent / 100; i++) {
        Route_Sent(r, i % upstreams, 0);
    }
    for (i = 0; i < WAITING + DECISIONS; i++) {
        struct admission_facts facts = {.organisation = name,
                                        .caller = domain,
                                        .class_name = "est",
                                        .priority = PRIORITY_NORMAL,
                                        .deadline_at = 1000000};
        struct admission_next next;
        struct route_decision d;

        memcpy(facts.id.b, &i, sizeof(i));
        snprintf(name, sizeof(name), "o%d", i % ORGANISATIONS);
        snprintf(domain, sizeof(domain), "c%d", i % 7);
        Admission_Offer(a, &facts, i, (uint64_t)i);
        if (i < WAITING || Admission_Next(a, i, &next) != ERR_OK) {
            continue;
        }
        d = Route_Pick(r, &request, i, (uint64_t)i * 977);
        if (d.handle != ROUTE_NONE) {
            Route_Sent(r, d.handle, i);
            Route_Settled(r, d.handle, ROUTE_OK, 200, 200, i);
            picked++;
        }
        Admission_Finished(a, &next.id, 200, true, i);
    }
    printf("decisions %d picked %d\n", DECISIONS, picked);
    return 0;
}
