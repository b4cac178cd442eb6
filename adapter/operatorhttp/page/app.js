// The table page. It loads the table, validates it during editing, shows the changes for review before they are saved,
// and shows which revision is in force.

import * as api from './api.js';
import { Grid } from './grid.js';

const byId = (id) => document.getElementById(id);
const pollIntervalMs = 5000;
// The rollout status costs a call to each host. A positive one is kept for this long, unless the revision changes.
const rolloutMaxAgeMs = 60000;
const checkDelayMs = 300;

const state = { revision: 0, base: [], columns: [], checked: 0, lastCheck: 0, faults: 0 };

const grid = new Grid(byId('grid'), { onChange: scheduleCheck, onSelect: describeColumn });

function showMessage(text) {
  byId('message').textContent = text;
  byId('message').hidden = !text;
}

// reportErrors wraps an action of the operator and shows its failure as a message.
const reportErrors = (action) => async (event) => {
  event?.preventDefault();
  try {
    await action(event);
  } catch (problem) {
    showMessage(`${problem.message} [${problem.verdict || 'error'}]`);
  }
};

function newElement(tag, text, className) {
  const e = document.createElement(tag);
  e.textContent = text;
  if (className) {
    e.className = className;
  }
  return e;
}

function describeColumn(column) {
  if (column) {
    byId('about').textContent =
      `${column.name}: ${column.effect} Range: ${column.range} ${column.unit || ''}. ` +
      (column.required ? 'Required.' : `Default: ${column.default}.`);
  }
}

async function load() {
  let table;
  try {
    table = await api.read();
    showMessage('');
  } catch (problem) {
    table = await api.readInForce();
    showMessage(`The store cannot be reached. This is the table in force on one host, and changes cannot be saved now. ${problem.message}`);
  }
  state.revision = table.revision;
  state.base = table.rows;
  grid.setRows(table.rows, table.rows);
  await check();
}

// check asks the relay for the faults of the edited table. It drops the answer if a newer check has started.
async function check() {
  const checkNumber = ++state.lastCheck;
  const answer = await api.validate(grid.rows);
  if (checkNumber !== state.lastCheck) {
    return;
  }
  state.faults = answer.faults.length;
  grid.setFaults(answer.faults);
  byId('faults').textContent = state.faults ? `${state.faults} faults` : 'No faults';
  byId('faults').className = state.faults ? 'bad' : '';
  byId('review').disabled = state.faults > 0;
}

let checkTimer = 0;

function scheduleCheck() {
  clearTimeout(checkTimer);
  byId('review').disabled = true;
  checkTimer = setTimeout(reportErrors(check), checkDelayMs);
}

function cellText(row, column) {
  return row ? String(row[column] ?? '') : '';
}

// newChangeTable returns an HTML table with one line per changed cell.
function newChangeTable(changes) {
  const table = document.createElement('table');
  const head = table.createTHead().insertRow();
  for (const title of ['row', 'column', 'before', 'after']) {
    head.append(newElement('th', title));
  }
  for (const change of changes) {
    const addedOrRemoved = !change.before || !change.after;
    const columns = addedOrRemoved ? state.columns.map((c) => c.name) : change.columns;
    for (const column of columns) {
      const line = table.insertRow();
      line.append(newElement('td', change.name), newElement('td', column));
      for (const [tag, row] of [['del', change.before], ['ins', change.after]]) {
        const cell = line.insertCell();
        cell.append(newElement(tag, cellText(row, column)));
      }
    }
  }
  return table;
}

let dialogAction = null;

function openDialog(title, text, content, warnings, action) {
  byId('dialogtitle').textContent = title;
  byId('dialogtext').textContent = text;
  byId('changes').replaceChildren(content);
  byId('warnings').replaceChildren(...warnings.map((w) => newElement('li', `${w.name || 'table'}, ${w.column}: ${w.message}`)));
  dialogAction = action;
  byId('author').value = sessionStorage.getItem('author') || '';
  byId('reason').value = '';
  byId('dialog').showModal();
}

async function review() {
  await check();
  if (state.faults) {
    return;
  }
  const [answer, checked] = await Promise.all([api.diff(state.revision, grid.rows), api.validate(grid.rows)]);
  if (answer.changes.length === 0) {
    showMessage('There are no changes to save.');
    return;
  }
  openDialog(`Changes to revision ${state.revision}`, `${answer.changes.length} rows change.`,
    newChangeTable(answer.changes), checked.warnings,
    (metadata) => api.save({ base: state.revision, rows: grid.rows, ...metadata }));
}

// sendChange sends a change. It first saves the marker of the change in the session, so that the outcome can be queried
// after a lost answer or a reload of the page.
async function sendChange(action, author, reason) {
  const metadata = { author, reason, nonce: api.newNonce() };
  const marker = `${state.revision + 1}-${metadata.nonce}`;
  sessionStorage.setItem('author', author);
  sessionStorage.setItem('pending', marker);
  try {
    const done = await action(metadata);
    sessionStorage.removeItem('pending');
    await load();
    showMessage(done.unchanged ? 'The table already has these rows.' : `Saved as revision ${done.revision}.`);
  } catch (problem) {
    if (problem.verdict !== 'not-run') {
      await resolveOutcome(marker);
      return;
    }
    sessionStorage.removeItem('pending');
    if (!problem.merge) {
      throw problem;
    }
    await offerMerge(problem);
  }
}

// resolveOutcome queries and shows the outcome of a change whose answer was lost.
async function resolveOutcome(marker) {
  const answer = await api.outcome(marker);
  if (answer.state === 'unknown') {
    showMessage(`The outcome of the change with marker ${marker} is not known yet. ${answer.hint} ` +
      'Reload the page to check again.');
    return;
  }
  sessionStorage.removeItem('pending');
  await load();
  showMessage(answer.hint);
}

async function offerMerge(problem) {
  const { merge } = problem;
  const mine = grid.rows;
  const head = await api.read();
  const conflicts = merge.conflicts.map((c) => c.name);
  state.revision = merge.head;
  state.base = head.rows;
  grid.setRows(merge.merged, head.rows);
  // Conflicting rows show the values in force. The operator's values are listed in the message, to be entered again.
  const conflicting = mine.filter((row) => conflicts.includes(row.name));
  showMessage(`${problem.message}\nThe table below is revision ${merge.head} with your other changes. ` +
    (conflicts.length
      ? `Rows in conflict, which show what is in force: ${conflicts.join(', ')}.\nYour values: ` +
        conflicting.map((row) => Object.values(row).join(' | ')).join('\n')
      : 'No row is in conflict. Review and save it again.'));
  await check();
}

async function showHistory() {
  const answer = await api.history();
  const items = answer.records.map((record) => {
    const item = newElement('li', `${new Date(record.time).toLocaleString()} ${record.author}: ${record.reason} ` +
      `(${record.changes.length} rows) `);
    item.value = record.revision;
    const show = newElement('button', 'Show');
    show.addEventListener('click', () => item.append(newChangeTable(record.changes)), { once: true });
    const back = newElement('button', 'Roll back to this');
    back.addEventListener('click', () => openDialog(`Roll back to revision ${record.revision}`,
      'This saves a new revision with the rows of that one.', document.createElement('div'), [],
      (metadata) => api.rollback({ base: state.revision, to: record.revision, ...metadata })));
    item.append(show, back);
    return item;
  });
  if (!answer.complete) {
    items.push(newElement('li', 'Older revisions are not available while the store cannot be reached.'));
  }
  byId('history').replaceChildren(...items);
}

let cachedRollout = { answer: null, at: 0 };

async function fetchRollout(revision) {
  const { answer, at } = cachedRollout;
  if (!answer?.in_force || answer.revision !== revision || Date.now() - at > rolloutMaxAgeMs) {
    cachedRollout = { answer: await api.rolloutStatus(), at: Date.now() };
  }
  return cachedRollout.answer;
}

async function showStatus() {
  const status = await api.status();
  const rollout = await fetchRollout(status.self.revision);
  const statusLine = byId('force');
  statusLine.className = rollout.in_force ? 'all' : 'part';
  statusLine.textContent = `Revision ${rollout.revision} in force on ${rollout.confirmed} of ${rollout.members} hosts.` +
    (rollout.in_force ? '' : ` ${rollout.reason} ${rollout.missing.join(', ')}`) +
    (status.divergence ? ` ${status.divergence}` : '') +
    (rollout.revision > state.revision ? ` You are editing revision ${state.revision}.` : '');
  const table = byId('hostlist');
  table.replaceChildren();
  const head = table.createTHead().insertRow();
  for (const title of ['host', 'revision', 'in force since', 'last store contact', 'seen']) {
    head.append(newElement('th', title));
  }
  const time = (text) => (text ? new Date(text).toLocaleString() : 'never');
  for (const host of [status.self, ...status.hosts]) {
    const line = table.insertRow();
    for (const text of [host.host, host.loaded ? host.revision : 'none', time(host.in_force_since),
      time(host.store_contact), time(host.seen)]) {
      line.append(newElement('td', text));
    }
  }
}

// poll updates the status while the page is open. It shows a failure and tries again at the next interval.
async function poll() {
  try {
    await showStatus();
  } catch (problem) {
    byId('force').className = 'part';
    byId('force').textContent = `No status: ${problem.message}`;
  }
  setTimeout(poll, pollIntervalMs);
}

async function open() {
  api.setToken(byId('token').value);
  state.columns = await api.schema();
  sessionStorage.setItem('token', byId('token').value);
  grid.setColumns(state.columns);
  byId('login').hidden = true;
  byId('main').hidden = false;
  await load();
  poll();
  const pending = sessionStorage.getItem('pending');
  if (pending) {
    await resolveOutcome(pending);
  }
}

async function download() {
  const url = URL.createObjectURL(new Blob([await api.csv()], { type: 'text/csv' }));
  const link = document.createElement('a');
  link.href = url;
  link.download = `table-${state.revision}.csv`;
  link.click();
  URL.revokeObjectURL(url);
}

byId('login').addEventListener('submit', reportErrors(open));
byId('add').addEventListener('click', () => grid.addRow());
byId('remove').addEventListener('click', () => grid.removeRow());
byId('undo').addEventListener('click', () => grid.undo());
byId('reload').addEventListener('click', reportErrors(load));
byId('review').addEventListener('click', reportErrors(review));
byId('download').addEventListener('click', reportErrors(download));
byId('past').addEventListener('toggle', reportErrors(showHistory));
byId('cancel').addEventListener('click', () => byId('dialog').close());
byId('save').addEventListener('submit', reportErrors(async () => {
  byId('dialog').close();
  await sendChange(dialogAction, byId('author').value, byId('reason').value);
}));

const savedToken = sessionStorage.getItem('token');
if (savedToken) {
  byId('token').value = savedToken;
  reportErrors(open)();
}
