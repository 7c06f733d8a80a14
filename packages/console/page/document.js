// Operations on configuration documents: copy, compare, and a three-way merge
// of one operator's changes with another's.

function copy(value) {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}

function isMap(value) {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

// Deep equality. The order of keys is ignored; the order of list items is not.
function same(a, b) {
  if (Array.isArray(a) && Array.isArray(b)) {
    return a.length === b.length && a.every((item, i) => same(item, b[i]));
  }
  if (isMap(a) && isMap(b)) {
    const keys = new Set([...Object.keys(a), ...Object.keys(b)]);
    return [...keys].every((key) => same(a[key], b[key]));
  }
  return a === b;
}

// Returns the identities by which the items of a list are matched: the name of
// a map, the string itself. Null if an item has none or two share one.
function identities(list) {
  const ids = list.map((item) => (isMap(item) ? item.name : item));
  const usable = ids.every((id) => typeof id === 'string' && id !== '');
  return usable && new Set(ids).size === ids.length ? ids : null;
}

function formatValue(value) {
  return value === undefined ? 'none' : String(value);
}

// Lists the changes from a to b, one line per path, in the server's format.
function difference(a, b, path = '') {
  if (Array.isArray(a) && Array.isArray(b)) {
    return listDifference(a, b, path);
  }
  if (isMap(a) && isMap(b)) {
    const keys = new Set([...Object.keys(a), ...Object.keys(b)]);
    return [...keys].flatMap((key) =>
      difference(a[key], b[key], path ? `${path}.${key}` : key));
  }
  if (same(a, b)) {
    return [];
  }
  if (typeof a === 'object' || typeof b === 'object') {
    return [`${path}: ${b === undefined ? 'removed' : 'added'}`];
  }
  return [`${path}: ${formatValue(a)} -> ${formatValue(b)}`];
}

function listDifference(a, b, path) {
  const before = identities(a);
  const after = identities(b);
  if (!before || !after) {
    return indexDifference(a, b, path);
  }
  const kept = before.filter((id) => after.includes(id));
  const reordered =
    !same(kept, after.filter((id) => before.includes(id)));
  return [
    ...before.filter((id) => !after.includes(id))
      .map((id) => `${path}[${id}]: removed`),
    ...after.filter((id) => !before.includes(id))
      .map((id) => `${path}[${id}]: added`),
    ...kept.flatMap((id) => difference(
      a[before.indexOf(id)], b[after.indexOf(id)], `${path}[${id}]`)),
    ...(reordered ? [`${path}: order changed`] : []),
  ];
}

function indexDifference(a, b, path) {
  const length = Math.max(a.length, b.length);
  return Array.from({length}, (_, i) => {
    if (i >= a.length || i >= b.length) {
      return [`${path}[${i}]: ${i < b.length ? 'added' : 'removed'}`];
    }
    return difference(a[i], b[i], `${path}[${i}]`);
  }).flat();
}

// Three-way merge: applies the changes from base to mine to theirs. Where both
// changed the same value, mine is kept and its path is added to conflicts, so
// that the operator sees what would be overwritten before sending it.
function merge(base, mine, theirs, conflicts, path = '') {
  if (same(mine, base) || same(mine, theirs)) {
    return copy(theirs);
  }
  if (same(theirs, base)) {
    return copy(mine);
  }
  if ([base, mine, theirs].every(isMap)) {
    return mergeMaps(base, mine, theirs, conflicts, path);
  }
  if ([base, mine, theirs].every((v) => Array.isArray(v) && identities(v))) {
    return mergeLists(base, mine, theirs, conflicts, path);
  }
  conflicts.push(path);
  return copy(mine);
}

function mergeMaps(base, mine, theirs, conflicts, path) {
  const out = {};
  const keys = [...Object.keys(theirs), ...Object.keys(mine)];
  for (const key of new Set(keys)) {
    const value = merge(base[key], mine[key], theirs[key], conflicts,
      path ? `${path}.${key}` : key);
    if (value !== undefined) {
      out[key] = value;
    }
  }
  return out;
}

function mergeLists(base, mine, theirs, conflicts, path) {
  const find = (list, id) => list[identities(list).indexOf(id)];
  const ids = new Set([...identities(theirs), ...identities(mine)]);
  return [...ids]
    .map((id) => merge(find(base, id), find(mine, id), find(theirs, id),
      conflicts, `${path}[${id}]`))
    .filter((item) => item !== undefined);
}

// Returns the path of the parent: a[0].b gives a[0], a[0] gives a, a gives ''.
function parentPath(path) {
  return path.replace(/(\.[^.[\]]+|\[[^\]]*\]|^[^.[\]]+)$/, '');
}
