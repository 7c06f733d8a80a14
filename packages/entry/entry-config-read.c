#include "entry-config.h"

#include <string.h>

/* GET /v1/config: returns the document in force here, as YAML or JSON. */
static void
get_config(struct task *t, struct http_exchange *ex,
           const char *segment UNUSED)
{
    const struct config_snapshot *f = ((struct configs *)t)->active_config;
    const char *accept = Http_Header(ex, "Accept");
    struct buf tag CLEANUP(Buf_Free) = {0};
    struct buf json CLEANUP(Buf_Free) = {0};

    if (Operators_Identify(f, ex) == NULL) {
        return;
    }
    config_etag(f->epoch, f->hash, &tag);
    Http_ReplyHeader(ex, "ETag", tag.data);
    if (accept != NULL && strstr(accept, "application/json") != NULL) {
        Config_RenderJson(&f->doc, &json);
        Http_Reply(ex, 200, "application/json", json.data, json.len);
        return;
    }
    Http_Reply(ex, 200, "application/yaml", f->text.data, f->text.len);
}

/* GET /v1/config/head: returns the epoch and hash in force here. */
static void
get_head(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    const struct config_snapshot *f = ((struct configs *)t)->active_config;

    if (Operators_Identify(f, ex) == NULL) {
        return;
    }
    Front_ReplyJson(ex, 200,
                    json_pack("{s:I, s:s}", "epoch", (json_int_t)f->epoch,
                              "hash", f->hash));
}

static struct front_route get_route = {
    "GET", "/v1/config", "config", get_config, {0}};
FRONT_ROUTE(get_route)
static struct front_route head_route = {
    "GET", "/v1/config/head", "config", get_head, {0}};
FRONT_ROUTE(head_route)
