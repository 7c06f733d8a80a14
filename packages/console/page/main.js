// The page: loads the document, edits a draft of it, sends it, and shows the
// entry's state.

const REFRESH_MS = 5000;
const $ = (id) => document.getElementById(id);

const page = {
  base: null, // the document as loaded
  draft: null, // the document as edited
  etag: '',
};

function say(text) {
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

// Builds the form anew, with the same parts open as before.
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
  // Building the form adds lists that are missing; that is no change.
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
  say('Loading.');
  const answer = await getDocument();
  if (answer.status !== 200 || !answer.body) {
    say(refusalText(answer));
    return;
  }
  setDocument(answer.body, answer.etag);
  say('The document in force is loaded.');
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

// Lists the mistakes, each with a link to its field.
function showRefused(body) {
  const form = $('document');
  const errors = (body && body.errors) || [];
  showErrors(form, errors);
  const items = errors.map((error) => {
    const show = () => reveal(findPath(form, error.key));
    const text = `${error.key || `line ${error.line}`}: ${error.what}` +
      `${error.allowed ? ` (allowed: ${error.allowed})` : ''}`;
    return element('li', {}, findPath(form, error.key) ?
      element('button', {type: 'button', onclick: show}, text) : text);
  });
  const more = body && body.more ? ` and ${body.more} more` : '';
  $('errors').replaceChildren(
    element('p', {}, `Not accepted: ${errors.length} mistakes${more}.`),
    element('ul', {}, ...items));
  $('errors').hidden = false;
  $('errors').focus();
  say('The document was not accepted. Nothing has changed.');
}

// Somebody else was first: shows who changed what, and the ways on.
async function showConflict(body) {
  const changes = (body && body.changes) || [];
  const answer = await getDocument();
  const buttons = answer.status === 200 && answer.body ? [
    element('button', {type: 'button',
      onclick: () => keepMine(answer.body, answer.etag)},
    'Put my changes on top of the new document'),
    element('button', {type: 'button', onclick: () => {
      setDocument(answer.body, answer.etag);
      say('The new document is loaded. Your changes are discarded.');
    }}, 'Discard my changes'),
  ] : [element('p', {}, `The new document could not be loaded: ` +
    refusalText(answer))];
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
  say('Not applied: somebody else changed the document.');
}

function keepMine(theirs, etag) {
  const clashes = [];
  const merged = merge(page.base, page.draft, theirs, clashes);
  setDocument(theirs, etag, merged);
  preview();
  say(clashes.length === 0 ?
    'Your changes stand on the new document. Look at them and apply.' :
    `You would overwrite what the other changed at: ${clashes.join(', ')}. ` +
    'Look at the difference before you apply.');
}

async function apply() {
  hideProblems();
  say('Sending.');
  $('apply-button').disabled = true;
  const answer = await putDocument(page.draft, page.etag);
  updateButtons();
  if (answer.status === 422 || answer.status === 400) {
    showRefused(answer.body);
  } else if (answer.status === 412) {
    await showConflict(answer.body);
  } else if (answer.status >= 200 && answer.status < 300) {
    await load();
    say('Applied. The new document is in force everywhere within seconds.');
  } else if (answer.status === 0 || answer.status === 504) {
    say('No answer. The change may have taken effect: if you apply again ' +
      'and somebody changed the document since, you will be told who.');
  } else {
    say(refusalText(answer));
  }
}

async function refresh() {
  const answer = await getState();
  if (answer.status !== 200 || !answer.body) {
    $('state-source').textContent = refusalText(answer);
    return;
  }
  const state = answer.body;
  $('state-source').textContent =
    `${state.process}, configuration ${state.epoch}, ` +
    new Date().toLocaleTimeString();
  $('guarantees-view').replaceChildren(guaranteesView(state));
  $('racks-view').replaceChildren(racksView(state, askWhy));
  $('queue-view').replaceChildren(queueView(state, askWhy));
}

async function askWhy(id) {
  $('why-id').value = id;
  const answer = await getWhy(id);
  $('why-view').replaceChildren(answer.status === 200 && answer.body ?
    whyView(answer.body) : refusalText(answer));
  $('why-view').focus();
}

// A refresh must not take the focus away from what somebody is using.
function autoRefresh() {
  const views = ['guarantees-view', 'racks-view', 'queue-view'];
  const inUse = views.some((id) => $(id).contains(document.activeElement));
  if ($('auto-refresh').checked && page.draft && !inUse) {
    refresh();
  }
}

$('sign-in').addEventListener('submit', (event) => {
  event.preventDefault();
  useToken($('token').value);
  $('token').value = '';
  load();
});
$('why-form').addEventListener('submit', (event) => {
  event.preventDefault();
  askWhy($('why-id').value.trim());
});
$('document').addEventListener('submit', (event) => event.preventDefault());
$('preview-button').addEventListener('click', preview);
$('apply-button').addEventListener('click', apply);
$('reset-button').addEventListener('click', () => {
  setDocument(page.base, page.etag);
  say('Your changes are discarded.');
});
$('refresh-button').addEventListener('click', refresh);
window.addEventListener('beforeunload', (event) => {
  if (isChanged()) {
    event.preventDefault();
  }
});
setInterval(autoRefresh, REFRESH_MS);
