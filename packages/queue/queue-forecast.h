/* How the owner's forecast of waits (jobs-forecast.h) reaches the entries. */
#ifndef QUEUE_FORECAST_H
#define QUEUE_FORECAST_H

#include "jobs-forecast.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Interval of forecasts. */
#define FORECAST_INTERVAL_MS 500

/* Returns the message with a forecast. */
struct wire_forecast *Forecast_Message(const struct jobs_forecast *f,
                                       uint64_t term, uint64_t number);
/* Reads the rows of a message. Rows with impossible values are ignored and
 * counted. */
void Forecast_Read(const struct wire_forecast *m, struct jobs_forecast *out);

#ifdef __cplusplus
}
#endif

#endif
