// Tests how the console compares and merges documents in the browser.
'use strict';
const assert = require('node:assert');
const fs = require('node:fs');

const source = fs.readFileSync(process.argv[2], 'utf8');
const {difference, merge, parentPath, same} = new Function(
  `${source}; return {difference, merge, parentPath, same};`)();

const doc = () => ({
  weights: {completion: 1},
  organisations: [
    {name: 'a', weight: 1, guarantees: [{shape: 'worker', count: 1}]},
    {name: 'b', weight: 1, guarantees: []},
  ],
  services: [{name: 's', organisations: ['a', 'b']}],
});

const differences = [
  ['nothing', () => {}, []],
  ['a value', (d) => { d.organisations[0].weight = 2; },
    ['organisations[a].weight: 1 -> 2']],
  ['an item', (d) => { d.organisations.push({name: 'c'}); },
    ['organisations[c]: added']],
  ['a text', (d) => { d.services[0].organisations.shift(); },
    ['services[s].organisations[a]: removed']],
  ['order', (d) => { d.organisations.reverse(); },
    ['organisations: order changed']],
  ['an unnamed item', (d) => { d.organisations[0].guarantees[0].count = 3; },
    ['organisations[a].guarantees[0].count: 1 -> 3']],
  ['a key gone', (d) => { delete d.organisations[1].weight; },
    ['organisations[b].weight: 1 -> none']],
];
for (const [name, change, want] of differences) {
  const changed = doc();
  change(changed);
  assert.deepStrictEqual(difference(doc(), changed), want, name);
}

// Two operators change the document, and the later one's draft is merged into
// what the earlier one applied. Neither change may be lost, and where both
// changed the same value, the conflict must be reported.
const merges = [
  ['apart', (d) => { d.organisations[0].weight = 2; },
    (d) => { d.organisations[1].weight = 3; }, [],
    (d) => { d.organisations[0].weight = 2; d.organisations[1].weight = 3; }],
  ['both add', (d) => { d.organisations.push({name: 'c'}); },
    (d) => { d.organisations.push({name: 'e'}); }, [],
    (d) => { d.organisations.push({name: 'e'}, {name: 'c'}); }],
  ['mine removed', (d) => { d.organisations.shift(); },
    (d) => { d.weights.completion = 5; }, [],
    (d) => { d.organisations.shift(); d.weights.completion = 5; }],
  ['theirs removed', (d) => { d.weights.completion = 5; },
    (d) => { d.organisations.shift(); }, [],
    (d) => { d.organisations.shift(); d.weights.completion = 5; }],
  ['same value', (d) => { d.weights.completion = 5; },
    (d) => { d.weights.completion = 6; }, ['weights.completion'],
    (d) => { d.weights.completion = 5; }],
  ['removed against changed', (d) => { d.organisations[0].weight = 9; },
    (d) => { d.organisations.shift(); }, ['organisations[a]'],
    (d) => { d.organisations[0].weight = 9; d.organisations.reverse(); }],
];
for (const [name, mineChange, theirsChange, wantConflicts, wantChange] of
  merges) {
  const [mine, theirs, want] = [doc(), doc(), doc()];
  mineChange(mine);
  theirsChange(theirs);
  wantChange(want);
  const conflicts = [];
  const merged = merge(doc(), mine, theirs, conflicts);
  assert.deepStrictEqual(conflicts, wantConflicts, name);
  assert.ok(same(merged, want), `${name}: ${JSON.stringify(merged)}`);
}

assert.strictEqual(parentPath('a[0].b'), 'a[0]');
assert.strictEqual(parentPath('a[0]'), 'a');
assert.strictEqual(parentPath('a'), '');
console.log(`${differences.length + merges.length + 3} cases passed`);
