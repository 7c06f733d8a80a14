// Builds forms from the schema. The data-path attribute of each input is its
// path in the document, which is also the key in the server's errors.

function element(tag, attributes = {}, ...children) {
  const node = document.createElement(tag);
  for (const [name, value] of Object.entries(attributes)) {
    if (name.startsWith('on')) {
      node.addEventListener(name.slice(2), value);
    } else if (value === true) {
      node.setAttribute(name, '');
    } else if (value !== false && value !== undefined) {
      node.setAttribute(name, value);
    }
  }
  node.append(...children);
  return node;
}

// The state of the form: the document being edited and a callback for changes.
// changed(focusPath) with a path rebuilds the form and focuses that path.
let editor = {doc: {}, changed: () => {}};

function label(name) {
  const text = name.replace(/_ms$/, ' (ms)').replace(/_/g, ' ');
  return text.charAt(0).toUpperCase() + text.slice(1);
}

function singular(name) {
  return name.replace(/_/g, ' ').replace(/(ss|h)es$/, '$1').replace(/s$/,
    (end, at, all) => (all.endsWith('ss') ? end : ''));
}

function errorSlot(path) {
  return element('span', {class: 'error', id: `error:${path}`,
    'data-error-of': path});
}

// A label, an input, a hint and an error slot, linked for screen readers.
function field(path, name, spec, input) {
  input.id = `field:${path}`;
  input.setAttribute('data-path', path);
  const described = [`error:${path}`];
  const parts = [element('label', {for: input.id}, label(name)), input];
  if (spec.hint) {
    described.push(`hint:${path}`);
    parts.push(element('span', {class: 'hint', id: `hint:${path}`},
      spec.hint));
  }
  input.setAttribute('aria-describedby', described.join(' '));
  return element('div', {class: 'field'}, ...parts, errorSlot(path));
}

// Sets a value in the document; an empty value removes the key.
function setValue(parent, key, value) {
  if (value === '' || value === undefined) {
    delete parent[key];
  } else {
    parent[key] = value;
  }
  editor.changed();
}

function textInput(parent, key, spec, path) {
  const input = element('input', {type: 'text', size: 40,
    autocomplete: 'off', spellcheck: 'false',
    oninput: () => setValue(parent, key, input.value)});
  input.value = parent[key] === undefined ? '' : parent[key];
  if (!spec.suggest) {
    return field(path, key, spec, input);
  }
  const list = element('datalist', {id: `list:${path}`},
    ...spec.suggest.map((value) => element('option', {value})));
  input.setAttribute('list', list.id);
  const row = field(path, key, spec, input);
  row.append(list);
  return row;
}

function numberInput(parent, key, spec, path) {
  const read = () => (input.value === '' ? '' : Number(input.value));
  const input = element('input', {type: 'number', step: 1, min: spec.min,
    max: spec.max, oninput: () => setValue(parent, key, read())});
  input.value = parent[key] === undefined ? '' : parent[key];
  return field(path, key, spec, input);
}

function flagInput(parent, key, spec, path) {
  const input = element('input', {type: 'checkbox',
    onchange: () => setValue(parent, key, input.checked)});
  input.checked = parent[key] === true;
  return field(path, key, spec, input);
}

function selectInput(words, value, onchange) {
  const known = words.includes(value) ? words : [value, ...words];
  const input = element('select', {onchange: () => onchange(input.value)},
    ...known.map((word) => element('option', {value: word}, word || 'any')));
  input.value = value;
  return input;
}

function wordInput(parent, key, spec, path) {
  const input = selectInput(spec.words, parent[key] || spec.words[0],
    (value) => setValue(parent, key, value));
  return field(path, key, spec, input);
}

function referenceInput(parent, key, spec, path) {
  const input = selectInput(['', ...spec.to(editor.doc)], parent[key] || '',
    (value) => setValue(parent, key, value));
  return field(path, key, spec, input);
}

// Buttons that move an item up in its list or remove it.
function itemButtons(list, index, path, itemLabel) {
  const rebuild = (next) => editor.changed(`${path}[${next}]`);
  const moveUp = () => {
    list.splice(index - 1, 0, ...list.splice(index, 1));
    rebuild(index - 1);
  };
  const remove = () => {
    list.splice(index, 1);
    rebuild(Math.max(0, index - 1));
  };
  return [
    element('button', {type: 'button', onclick: moveUp, disabled: index === 0,
      'aria-label': `Move ${itemLabel} up`}, 'Up'),
    element('button', {type: 'button', onclick: remove,
      'aria-label': `Remove ${itemLabel}`}, 'Remove'),
  ];
}

function addButton(list, path, itemLabel, fresh) {
  const add = () => {
    list.push(fresh());
    editor.changed(`${path}[${list.length - 1}]`);
  };
  return element('button', {type: 'button', onclick: add,
    'data-path': path}, `Add ${itemLabel}`);
}

function ensureList(parent, key) {
  parent[key] = parent[key] || [];
  return parent[key];
}

// A list of strings, or of references to names defined in the document.
function textsInput(parent, key, spec, path) {
  const list = ensureList(parent, key);
  const choices = spec.to ? spec.to(editor.doc) : null;
  const rows = list.map((value, i) => {
    const name = `${singular(key)} ${i + 1}`;
    const setItem = (next) => {
      list[i] = next;
      editor.changed();
    };
    const input = choices ?
      selectInput(choices, value, (next) => setItem(next)) :
      element('input', {type: 'text', size: 66, autocomplete: 'off',
        spellcheck: 'false',
        oninput: () => setItem(input.value)});
    input.value = value;
    const row = field(`${path}[${i}]`, name, {}, input);
    row.append(...itemButtons(list, i, path, name));
    return row;
  });
  const fresh = () =>
    (choices ? choices.find((c) => !list.includes(c)) || '' : '');
  return element('fieldset', {}, element('legend', {}, label(key)),
    ...(spec.hint ? [element('p', {class: 'hint'}, spec.hint)] : []),
    errorSlot(path), ...rows,
    addButton(list, path, singular(key), fresh));
}

// A list of maps, each in a collapsible section.
function mapsInput(parent, key, spec, path) {
  const list = ensureList(parent, key);
  const title = spec.of.title || ((item) => item.name || '(no name)');
  const rows = list.map((item, i) => {
    const at = `${path}[${i}]`;
    const summary = element('summary', {}, title(item));
    const retitle = () => summary.replaceChildren(title(item));
    return element('details', {'data-item': at, oninput: retitle},
      summary, errorSlot(at),
      ...mapInputs(item, spec.of, at),
      element('div', {class: 'buttons'},
        ...itemButtons(list, i, path, `${spec.of.item} ${title(item)}`)));
  });
  return element('fieldset', {},
    element('legend', {}, `${label(key)} (${list.length})`),
    errorSlot(path), ...rows,
    addButton(list, path, spec.of.item, spec.of.fresh));
}

function mapInput(parent, key, spec, path) {
  parent[key] = parent[key] || {};
  return element('fieldset', {}, element('legend', {}, label(key)),
    errorSlot(path), ...mapInputs(parent[key], spec.of, path));
}

const INPUTS = {
  text: textInput, number: numberInput, flag: flagInput, word: wordInput,
  reference: referenceInput, texts: textsInput, references: textsInput,
  map: mapInput, maps: mapsInput,
};

function mapInputs(parent, schema, path) {
  return Object.entries(schema.keys).map(([key, spec]) =>
    INPUTS[spec.type](parent, key, spec, path ? `${path}.${key}` : key));
}

// Finds the input of a path, or else the innermost list or item around it.
function findPath(form, path) {
  for (let at = path; at !== ''; at = parentPath(at)) {
    const quoted = CSS.escape(at);
    const found = form.querySelector(`[data-path="${quoted}"]`) ||
      form.querySelector(`[data-item="${quoted}"] > summary`);
    if (found) {
      return found;
    }
  }
  return null;
}

// Opens the collapsed sections around a node, and moves the focus to it.
function reveal(node) {
  for (let n = node; n; n = n.parentElement) {
    if (n.tagName === 'DETAILS') {
      n.open = true;
    }
  }
  node.focus();
}

// Shows errors beside their fields; returns those that belong to no field.
function showErrors(form, errors) {
  return errors.filter((error) => {
    for (let at = error.key; at !== ''; at = parentPath(at)) {
      const slot = form.querySelector(`[data-error-of="${CSS.escape(at)}"]`);
      if (!slot) {
        continue;
      }
      const rest = error.key.slice(at.length);
      slot.append(`${rest ? `${rest} ` : ''}${error.what}` +
        `${error.allowed ? ` (allowed: ${error.allowed})` : ''} `);
      const input = form.querySelector(`[data-path="${CSS.escape(at)}"]`);
      if (input && input.tagName !== 'BUTTON') {
        input.setAttribute('aria-invalid', 'true');
      }
      return false;
    }
    return true;
  });
}

function clearErrors(form) {
  form.querySelectorAll('[data-error-of]')
    .forEach((slot) => slot.replaceChildren());
  form.querySelectorAll('[aria-invalid]')
    .forEach((input) => input.removeAttribute('aria-invalid'));
}
