/*
 * console: the operators' page of forms.
 *
 * One page without outside assets. Its source is console.html with the parts
 * in page/; scripts/embed-console writes console-page.c from them, which is
 * committed, so that the build needs no generator.
 *
 * The page asks, with the operator's token as bearer token:
 *   GET /v1/config, Accept: application/json  -> the document as JSON, ETag
 *   PUT /v1/config, If-Match: that ETag, the document as JSON
 *       2xx taken; 422 Config_RenderErrors; 412
 *       {"changes":[{"epoch":n,"operator":"...","lines":["path: a -> b"]}]}
 *   GET /v1/overview -> {"process","epoch","owner","organisations":[{"name",
 *       "guaranteed","used","lent"}],"workers":[{"name","domain","rack",
 *       "state","accelerators":[job id or null]}],"queue":[{"id",
 *       "organisation","class","tasks","waiting_ms","reason"}]}
 *   GET /v1/why/{id} -> {"id","dropped":n,"records":[{"at_ms","decision",
 *       "reason","inputs":{}}]}
 * Other answers may carry {"reason","detail"}, which are shown.
 */
#ifndef CONSOLE_H
#define CONSOLE_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Content-Security-Policy to serve the page with: nothing from elsewhere,
 * nobody frames it, and only its own entry is asked. */
#define CONSOLE_POLICY                                                        \
    "default-src 'none'; style-src 'unsafe-inline'; script-src "              \
    "'unsafe-inline'; connect-src 'self'; base-uri 'none'; form-action "      \
    "'none'; frame-ancestors 'none'"

/* Adds the page, text/html in UTF-8. */
void Console_Page(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
