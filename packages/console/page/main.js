// The controller of the page: loads the document, edits a draft of it, sends
// the draft, and shows the state of the entry.

const REFRESH_MS = 5000;
const $ = (id) => document.getElementById(id);

const page = {
  base: null, // the document as loaded
  draft: null, // the document as edited
  etag: '',
};

function notify(text) {
  $('status').textContent = text;
}

function isChanged() {
  return page.base !== null && !same(page.base, page.draft);
}

function updateButtons() {
  const loaded = page.draft !== null;
  $('preview-button').disabled = !loaded;
  $('refresh-button').disabled = !loaded;
  $('apply-button').disabled = !isChanged();
  $('reset-button').disabled = !isChanged();
}

// Rebuilds the form, keeping open the sections that were open.
function buildForm(focusPath) {
  const form = $('document');
  const open = [...form.querySelectorAll('details[open]')]
    .map((node) => node.getAttribute('data-item'));
  editor = {doc: page.draft, changed: draftChanged};
  form.replaceChildren(...mapInputs(page.draft, DOCUMENT, ''));
  for (const path of open) {
    const node = form.querySelector(`[data-item="${CSS.escape(path)}"]`);
    if (node) {
      node.open = true;
    }
  }
  if (focusPath) {
    const target = findPath(form, focusPath);
    if (target) {
      reveal(target);
    }
  }
}

function draftChanged(focusPath) {
  if (focusPath) {
    buildForm(focusPath);
  }
  $('preview').hidden = true;
  updateButtons();
}

function setDocument(doc, etag, draft) {
  page.base = doc;
  page.draft = draft || copy(doc);
  page.etag = etag;
  // buildForm adds missing lists to the draft, which must not count as edits.
  buildForm();
  if (!draft) {
    page.base = copy(page.draft);
  }
  $('version').textContent = `Loaded: ${etag}`;
  hideProblems();
  $('preview').hidden = true;
  updateButtons();
}

function hideProblems() {
  $('errors').hidden = true;
  $('conflict').hidden = true;
  clearErrors($('document'));
}

async function load() {
  notify('Loading.');
  const result = await getDocument();
  if (result.status !== 200 || !result.body) {
    notify(errorText(result));
    return;
  }
  setDocument(result.body, result.etag);
  notify('The document in force is loaded.');
  refresh();
}

function preview() {
  const lines = difference(page.base, page.draft);
  $('difference').replaceChildren(...(lines.length ? lines : ['No change.'])
    .map((line) => element('li', {}, line)));
  $('preview-text').textContent = JSON.stringify(page.draft, null, 2);
  $('preview').hidden = false;
  $('preview-title').focus();
}

// Lists the errors of a rejected document, each with a link to its field.
function showValidationErrors(body) {
  const form = $('document');
  const errors = (body && body.errors) || [];
  showErrors(form, errors);
  const items = errors.map((error) => {
    const focusField = () => reveal(findPath(form, error.key));
    const text = `${error.key || `line ${error.line}`}: ${error.what}` +
      `${error.allowed ? ` (allowed: ${error.allowed})` : ''}`;
    return element('li', {}, findPath(form, error.key) ?
      element('button', {type: 'button', onclick: focusField}, text) : text);
  });
  const more = body && body.more ? ` and ${body.more} more` : '';
  $('errors').replaceChildren(
    element('p', {}, `Not accepted: ${errors.length} mistakes${more}.`),
    element('ul', {}, ...items));
  $('errors').hidden = false;
  $('errors').focus();
  notify('The document was not accepted. Nothing has changed.');
}

// Another operator was first: shows who changed what, and how to continue.
async function showConflict(body) {
  const changes = (body && body.changes) || [];
  const result = await getDocument();
  const buttons = result.status === 200 && result.body ? [
    element('button', {type: 'button',
      onclick: () => rebaseDraft(result.body, result.etag)},
    'Put my changes on top of the new document'),
    element('button', {type: 'button', onclick: () => {
      setDocument(result.body, result.etag);
      notify('The new document is loaded. Your changes are discarded.');
    }}, 'Discard my changes'),
  ] : [element('p', {}, `The new document could not be loaded: ` +
    errorText(result))];
  $('conflict').replaceChildren(
    element('p', {}, 'Not applied: the document has changed since you ' +
      'loaded it.'),
    element('ul', {}, ...changes.map((change) => element('li', {},
      `Version ${change.epoch} by ${change.operator}:`,
      element('ul', {}, ...(change.lines || []).map((line) =>
        element('li', {}, line)))))),
    element('div', {class: 'buttons'}, ...buttons));
  $('conflict').hidden = false;
  $('conflict').focus();
  notify('Not applied: somebody else changed the document.');
}

function rebaseDraft(theirs, etag) {
  const conflicts = [];
  const merged = merge(page.base, page.draft, theirs, conflicts);
  setDocument(theirs, etag, merged);
  preview();
  notify(conflicts.length === 0 ?
    'Your changes stand on the new document. Look at them and apply.' :
    `You would overwrite what the other changed at: ${conflicts.join(', ')}.` +
    ' Look at the difference before you apply.');
}

async function apply() {
  hideProblems();
  notify('Sending.');
  $('apply-button').disabled = true;
  const result = await putDocument(page.draft, page.etag);
  updateButtons();
  if (result.status === 422 || result.status === 400) {
    showValidationErrors(result.body);
  } else if (result.status === 412) {
    await showConflict(result.body);
  } else if (result.status >= 200 && result.status < 300) {
    await load();
    notify('Applied. The new document is in force everywhere within seconds.');
  } else if (result.status === 0 || result.status === 504) {
    notify('No answer. The change may have taken effect: if you apply again ' +
      'and somebody changed the document since, you will be told who.');
  } else {
    notify(errorText(result));
  }
}

async function refresh() {
  const result = await getState();
  if (result.status !== 200 || !result.body) {
    $('state-source').textContent = errorText(result);
    return;
  }
  const state = result.body;
  $('state-source').textContent =
    `${state.process}, configuration ${state.epoch}, ` +
    new Date().toLocaleTimeString();
  $('guarantees-view').replaceChildren(guaranteesView(state));
  $('racks-view').replaceChildren(racksView(state, loadWhy));
  $('queue-view').replaceChildren(queueView(state, loadWhy));
}

async function loadWhy(id) {
  $('why-id').value = id;
  const result = await getWhy(id);
  $('why-view').replaceChildren(result.status === 200 && result.body ?
    whyView(result.body) : errorText(result));
  $('why-view').focus();
}

// Skips the refresh while the focus is in a view, as replacing it loses focus.
function autoRefresh() {
  const views = ['guarantees-view', 'racks-view', 'queue-view'];
  const inUse = views.some((id) => $(id).contains(document.activeElement));
  if ($('auto-refresh').checked && page.draft && !inUse) {
    refresh();
  }
}

$('sign-in').addEventListener('submit', (event) => {
  event.preventDefault();
  setToken($('token').value);
  $('token').value = '';
  load();
});
$('why-form').addEventListener('submit', (event) => {
  event.preventDefault();
  loadWhy($('why-id').value.trim());
});
$('document').addEventListener('submit', (event) => event.preventDefault());
$('preview-button').addEventListener('click', preview);
$('apply-button').addEventListener('click', apply);
$('reset-button').addEventListener('click', () => {
  setDocument(page.base, page.etag);
  notify('Your changes are discarded.');
});
$('refresh-button').addEventListener('click', refresh);
window.addEventListener('beforeunload', (event) => {
  if (isChanged()) {
    event.preventDefault();
  }
});
setInterval(autoRefresh, REFRESH_MS);
