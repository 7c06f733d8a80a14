// HTTP requests to the entry. The token is kept only in this variable.

const TIMEOUT_MS = 15000;
let token = '';

function setToken(value) {
  token = value;
}

// Returns {status, body, etag}; body is parsed JSON or null. A status of 0
// means that no response was received.
async function sendRequest(method, path, headers = {}, body) {
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), TIMEOUT_MS);
  try {
    const response = await fetch(path, {
      method, body, signal: controller.signal, cache: 'no-store',
      credentials: 'omit', redirect: 'error',
      headers: {Accept: 'application/json',
        Authorization: `Bearer ${token}`, ...headers},
    });
    const text = await response.text();
    return {status: response.status, body: parseJson(text),
      etag: response.headers.get('ETag') || ''};
  } catch (error) {
    return {status: 0, body: null, etag: '', problem: String(error)};
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

const getDocument = () => sendRequest('GET', '/v1/config');
const getState = () => sendRequest('GET', '/v1/overview');
const getWhy = (id) => sendRequest('GET', `/v1/why/${encodeURIComponent(id)}`);

// Sends JSON, which is a subset of the YAML that the entry parses.
function putDocument(doc, etag) {
  return sendRequest('PUT', '/v1/config',
    {'If-Match': etag, 'Content-Type': 'application/json'},
    JSON.stringify(doc));
}

const STATUS_TEXTS = {
  0: 'No answer. It is not known whether the entry received this.',
  401: 'The token is not known.',
  403: 'The token does not allow this.',
  404: 'There is no such thing.',
  413: 'The document is too big.',
  429: 'The entry is busy. Try again in a moment.',
  503: 'The entry can\'t do this now. Try again in a moment.',
};

function errorText(result) {
  const detail = result.body && (result.body.detail || result.body.reason);
  const text = STATUS_TEXTS[result.status] || `Answer ${result.status}.`;
  return detail ? `${text} ${detail}` : text;
}
