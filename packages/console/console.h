/*
 * console: the operators' page of forms.
 *
 * A single page without external assets. Its source is console.html and the
 * files in page/ that it includes. scripts/embed-console generates
 * console-page.c from them; the generated file is committed, so that the build
 * does not run the generator.
 *
 * The page sends these requests, with the operator's token as bearer token:
 *   GET /v1/config, Accept: application/json  -> the document as JSON, ETag
 *   PUT /v1/config, If-Match: that ETag, the document as JSON
 *       2xx: accepted; 422: rejected, with the errors as
 *       Config_RenderErrors writes them; 412: the document has changed since
 *       that ETag, with the changes as
 *       {"changes":[{"epoch":n,"operator":"...","lines":["path: a -> b"]}]}
 *   GET /v1/overview -> {"process","epoch","owner","organisations":[{"name",
 *       "guaranteed","used","lent"}],"workers":[{"name","domain","rack",
 *       "state","accelerators":[job id, null if free, "?" if unknown]}],
 *       "queue":[{"id","organisation","class","tasks","waiting_ms","reason"}]}
 *   GET /v1/why/{id} -> {"id","dropped":n,"records":[{"at_ms","decision",
 *       "reason","inputs":{}}]}
 * Other responses may carry {"reason","detail"}; the page shows the detail, or
 * else the reason.
 */
#ifndef CONSOLE_H
#define CONSOLE_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Content-Security-Policy header of the page: it loads nothing from other
 * origins, cannot be framed, and connects only to the entry that served it. */
#define CONSOLE_POLICY                                                        \
    "default-src 'none'; style-src 'unsafe-inline'; script-src "              \
    "'unsafe-inline'; connect-src 'self'; base-uri 'none'; form-action "      \
    "'none'; frame-ancestors 'none'"

/* Appends the page to out: text/html in UTF-8. */
void Console_Page(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
