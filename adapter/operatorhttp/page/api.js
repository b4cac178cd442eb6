// Client of the operator API. Every failure is thrown as a Problem with the verdict of the relay. Without an answer the
// verdict is may-have-run, because the outcome is unknown.

export class Problem extends Error {
  constructor(status, body) {
    super(body.message || `status ${status}`);
    this.status = status;
    this.verdict = body.verdict || 'may-have-run';
    this.faults = body.faults || [];
    this.merge = body.merge || null;
    this.marker = body.marker || '';
  }
}

let token = '';

export function setToken(value) {
  token = value;
}

async function call(method, path, { body, headers = {} } = {}) {
  const init = { method, cache: 'no-store', headers: { Authorization: `Bearer ${token}`, ...headers } };
  if (body !== undefined) {
    init.body = JSON.stringify(body);
    init.headers['Content-Type'] = 'application/json';
  }
  let response;
  try {
    response = await fetch(path, init);
  } catch (error) {
    throw new Problem(0, { message: `No answer from the relay: ${error.message}` });
  }
  if (headers.Accept === 'text/csv' && response.ok) {
    return response.text();
  }
  let answer;
  try {
    answer = await response.json();
  } catch {
    throw new Problem(response.status, { message: `The answer is not complete (status ${response.status}).` });
  }
  if (!response.ok) {
    throw new Problem(response.status, answer);
  }
  return answer;
}

const query = (values) => new URLSearchParams(values).toString();

export const schema = () => call('GET', '/v1/table/schema');
export const read = () => call('GET', '/v1/table?fresh=true');
export const readInForce = () => call('GET', '/v1/table');
export const csv = () => call('GET', '/v1/table', { headers: { Accept: 'text/csv' } });
export const validate = (rows) => call('POST', '/v1/table/validate', { body: { rows } });
export const diff = (from, rows) => call('POST', `/v1/table/diff?${query({ from })}`, { body: { rows } });
export const history = () => call('GET', '/v1/table/history?limit=50');
export const status = () => call('GET', '/v1/table/status');
export const rolloutStatus = () => call('GET', '/v1/table/everywhere');
export const outcome = (marker) => call('GET', `/v1/table/changes/${encodeURIComponent(marker)}`);

const ifMatch = (base) => ({ 'If-Match': `"${base}"` });

export function save({ base, rows, author, reason, nonce }) {
  return call('PUT', `/v1/table?${query({ author, reason, nonce })}`, { body: { rows }, headers: ifMatch(base) });
}

export function rollback({ base, to, author, reason, nonce }) {
  return call('POST', `/v1/table/rollback?${query({ to, author, reason, nonce })}`, { headers: ifMatch(base) });
}

// newNonce returns 16 random bytes in hexadecimal. Unlike crypto.randomUUID, it also works without a secure context.
export function newNonce() {
  const bytes = crypto.getRandomValues(new Uint8Array(16));
  return Array.from(bytes, (b) => b.toString(16).padStart(2, '0')).join('');
}
