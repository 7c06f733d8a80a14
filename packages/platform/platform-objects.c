#include "platform-call.h"

#include <stdlib.h>

struct http_objects {
    struct objects objects;
    struct platform_http http;
};

struct put_call {
    struct call call;
    object_put_done done;
    void *arg;
};

struct get_call {
    struct call call;
    object_got done;
    void *arg;
};

/* Reports the outcome of a put to the caller. */
static bool
put_on_response(struct call *call, struct http_result *result)
{
    struct put_call *put = (struct put_call *)call;

    put->done(put->arg, result->status == 200 ? ERR_OK : ERR_INVALID);
    return true;
}

static void
put_on_failure(struct call *call, int err)
{
    struct put_call *put = (struct put_call *)call;

    put->done(put->arg, err);
}

static const struct call_ops put_ops = {.on_response = put_on_response,
                                        .on_failure = put_on_failure};

/* Builds the path of an object; names are hashes, so they need no escaping. */
static void
object_path(const char *name, struct buf *out)
{
    Buf_Printf(out, "/objects/%s", name);
}

/* Stores an object. */
static void
objects_put(struct objects *objects, const char *name, const void *data,
            size_t len, object_put_done done, void *arg)
{
    struct http_objects *o = (struct http_objects *)objects;
    struct buf path CLEANUP(Buf_Free) = {0};
    struct put_call *put;

    object_path(name, &path);
    put = Call_New(&o->http, sizeof(*put), &put_ops, "PUT", path.data);
    put->done = done;
    put->arg = arg;
    put->call.write = true;
    put->call.content_type = "application/octet-stream";
    Buf_Set(&put->call.body, data, len);
    Call_Start(&put->call);
}

/* Passes a fetched object to the caller. */
static bool
get_on_response(struct call *call, struct http_result *result)
{
    struct get_call *get = (struct get_call *)call;

    if (result->status != 200 && result->status != 404) {
        return false;
    }
    get->done(get->arg, result->status == 200 ? ERR_OK : ERR_NOTFOUND,
              &result->body);
    return true;
}

static void
get_on_failure(struct call *call, int err)
{
    struct get_call *get = (struct get_call *)call;
    struct buf none = {0};

    get->done(get->arg, err, &none);
}

static const struct call_ops get_ops = {.on_response = get_on_response,
                                        .on_failure = get_on_failure};

/* Fetches an object. */
static void
objects_get(struct objects *objects, const char *name, object_got done,
            void *arg)
{
    struct http_objects *o = (struct http_objects *)objects;
    struct buf path CLEANUP(Buf_Free) = {0};
    struct get_call *get;

    object_path(name, &path);
    get = Call_New(&o->http, sizeof(*get), &get_ops, "GET", path.data);
    get->done = done;
    get->arg = arg;
    Call_Start(&get->call);
}

static void
objects_free(struct objects *objects)
{
    struct http_objects *o = (struct http_objects *)objects;

    Platform_HttpClear(&o->http);
    free(o);
}

static const struct objects_ops objects_ops = {.name = "http",
                                               .put = objects_put,
                                               .get = objects_get,
                                               .free = objects_free};

/* Makes a client of an object store over HTTP. */
struct objects *
Platform_HttpObjects(struct ev_loop *loop, const char *url,
                     const struct platform_limits *limits)
{
    struct http_objects *o = Mem_Zero(1, sizeof(*o));

    o->objects.ops = &objects_ops;
    if (Platform_HttpInit(&o->http, loop, url, limits) != ERR_OK) {
        free(o);
        return NULL;
    }
    return &o->objects;
}
