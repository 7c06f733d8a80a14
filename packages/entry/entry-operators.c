#include "entry.h"

/* Finds the operator of the request's token, or refuses the request. */
const char *
Operators_Identify(const struct config_snapshot *f, struct http_exchange *ex)
{
    const char *token = Requests_Token(ex);
    const struct config_operator *who;

    if (f == NULL) {
        Front_Refuse(ex, 503, "not_run", "no_configuration",
                     "this entry has no configuration yet, so it knows no "
                     "operators",
                     1000, NULL);
        return NULL;
    }
    if (token == NULL) {
        Front_Refuse(ex, 401, "not_run", "no_token",
                     "Authorization: Bearer TOKEN of an operator", -1, NULL);
        return NULL;
    }
    who = Config_OperatorOfToken(&f->doc, token);
    if (who == NULL) {
        Front_Refuse(ex, 403, "not_run", "not_an_operator",
                     "the token is no operator's", -1, NULL);
        return NULL;
    }
    return who->name;
}
