// What this page asks its entry. The token lives in this variable only.

const TIMEOUT_MS = 15000;
let token = '';

function useToken(value) {
  token = value;
}

// Answers {status, body, etag}; body is parsed JSON or null. A status of 0
// says that no answer came.
async function ask(method, path, headers = {}, body) {
  const stop = new AbortController();
  const timer = setTimeout(() => stop.abort(), TIMEOUT_MS);
  try {
    const answer = await fetch(path, {
      method, body, signal: stop.signal, cache: 'no-store',
      credentials: 'omit', redirect: 'error',
      headers: {Accept: 'application/json',
        Authorization: `Bearer ${token}`, ...headers},
    });
    const text = await answer.text();
    return {status: answer.status, body: parseJson(text),
      etag: answer.headers.get('ETag') || ''};
  } catch (problem) {
    return {status: 0, body: null, etag: '', problem: String(problem)};
  } finally {
    clearTimeout(timer);
  }
}

function parseJson(text) {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

const getDocument = () => ask('GET', '/v1/config');
const getState = () => ask('GET', '/v1/overview');
const getWhy = (id) => ask('GET', `/v1/why/${encodeURIComponent(id)}`);

// JSON is a part of YAML, which is what the entry reads.
function putDocument(doc, etag) {
  return ask('PUT', '/v1/config',
    {'If-Match': etag, 'Content-Type': 'application/json'},
    JSON.stringify(doc));
}

const REFUSALS = {
  0: 'No answer. It is not known whether the entry received this.',
  401: 'The token is not known.',
  403: 'The token does not allow this.',
  404: 'There is no such thing.',
  413: 'The document is too big.',
  429: 'The entry is busy. Try again in a moment.',
  503: 'The entry can\'t do this now. Try again in a moment.',
};

function refusalText(answer) {
  const detail = answer.body && (answer.body.detail || answer.body.reason);
  const text = REFUSALS[answer.status] || `Answer ${answer.status}.`;
  return detail ? `${text} ${detail}` : text;
}
