// Views of the entry's state: guarantees, racks, queue and decision records.

function table(caption, headings, rows) {
  return element('table', {},
    element('caption', {}, caption),
    element('thead', {}, element('tr', {},
      ...headings.map((text) => element('th', {scope: 'col'}, text)))),
    element('tbody', {}, ...rows.map((cells) => element('tr', {},
      ...cells.map((cell, i) => tableCell(cell, i))))));
}

// The first cell of a row is its header; numbers are aligned to the right.
function tableCell(content, index) {
  const node = content instanceof Node ? content : String(content);
  if (index === 0) {
    return element('th', {scope: 'row'}, node);
  }
  return element('td',
    {class: typeof content === 'number' ? 'number' : undefined}, node);
}

function whyButton(id, loadWhy, text = id) {
  return element('button', {type: 'button', onclick: () => loadWhy(id),
    'aria-label': `Why: ${id}`, title: id}, text);
}

function guaranteesView(state) {
  const rows = (state.organisations || []).map((o) =>
    [o.name, o.guaranteed, o.used, o.lent]);
  return table('Accelerators by organisation',
    ['Organisation', 'Guaranteed', 'Used by it', 'Lent to others'], rows);
}

// Shows what holds an accelerator: a job, by the first digits of its id; free;
// or "?", as only the owner knows the jobs and another entry may answer.
function holder(job, loadWhy) {
  if (!job) {
    return 'free';
  }
  return job === '?' ? job : whyButton(job, loadWhy, job.slice(0, 8));
}

function accelerators(worker, loadWhy) {
  return element('ol', {class: 'accelerators'},
    ...(worker.accelerators || []).map((job, i) => element('li', {
      'aria-label': `Accelerator ${i}: ${job || 'free'}`},
    holder(job, loadWhy))));
}

function groupBy(list, key) {
  const groups = new Map();
  for (const item of list) {
    groups.set(key(item), [...(groups.get(key(item)) || []), item]);
  }
  return [...groups];
}

function racksView(state, loadWhy) {
  const racks = groupBy(state.workers || [], (w) => `${w.domain} / ${w.rack}`);
  return element('div', {}, ...racks.map(([name, workers]) =>
    table(name, ['Worker', 'State', 'Accelerators'], workers.map((w) =>
      [w.name, w.state, accelerators(w, loadWhy)]))));
}

function queueView(state, loadWhy) {
  const rows = (state.queue || []).map((job) => [whyButton(job.id, loadWhy),
    job.organisation, job.class, job.tasks, job.waiting_ms, job.reason]);
  if (rows.length === 0) {
    return element('p', {}, 'Nothing waits.');
  }
  return table('Waiting, in the order in which they will be tried',
    ['Id', 'Organisation', 'Class', 'Tasks', 'Waiting (ms)', 'Reason'], rows);
}

function inputsList(inputs) {
  return element('dl', {}, ...Object.entries(inputs || {}).flatMap(
    ([name, value]) => [
      element('dt', {}, name),
      element('dd', {}, typeof value === 'object' ?
        JSON.stringify(value) : String(value)),
    ]));
}

function whyView(why) {
  const rows = (why.records || []).map((r) =>
    [new Date(r.at_ms).toISOString(), r.decision, r.reason,
      inputsList(r.inputs)]);
  const dropped = why.dropped > 0 ?
    `${why.dropped} earlier records have been dropped.` :
    'No record has been dropped.';
  return element('div', {}, element('p', {}, dropped),
    table(`Decisions about ${why.id}, as recorded when they were made`,
      ['Time', 'Decision', 'Reason', 'Inputs'], rows));
}
