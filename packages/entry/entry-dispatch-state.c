#include "entry-dispatch.h"

/* Returns the upstreams of a service, for operators. */
static json_t *
upstreams_state(const struct route *route)
{
    json_t *list = json_array();
    int64_t now = Clock_NowMs();
    int i;

    for (i = 0; i < Route_Count(route); i++) {
        struct route_view v;

        Route_View(route, i, now, &v);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:i, s:i, s:I, s:I, s:b, s:b, s:i}", "agent",
                      v.name, "domain", v.domain, "slots", v.slots,
                      "outstanding", v.outstanding, "load_milli",
                      (json_int_t)v.load_milli, "slowness_milli",
                      (json_int_t)v.slowness_milli, "known", v.known,
                      "leaving", v.leaving, "health", (int)v.health));
    }
    return list;
}

/* Returns a service's queue and upstreams, for operators. */
json_t *
Dispatch_ServiceState(const struct service *s)
{
    struct admission_stats a;

    Admission_Stats(s->admission, &a);
    return json_pack("{s:s, s:i, s:i, s:i, s:I, s:I, s:o}", "service", s->name,
                     "queued", a.queued, "running", a.running, "capacity",
                     a.capacity, "queued_ms", (json_int_t)a.queued_ms,
                     "drain_milli", (json_int_t)a.drain_milli, "upstreams",
                     upstreams_state(s->route));
}
