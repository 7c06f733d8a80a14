// The keys of the document, in the order of its canonical text, with the
// values that each accepts. The server validates the whole document anyway.

const NAME = {type: 'text', hint: '1 to 63 of A-Z a-z 0-9 . _ -'};
const HASHES = {
  type: 'texts',
  hint: 'Hash of a token: printf %s "$TOKEN" | b2sum -l 256',
};
const RISK =
  'serve takes a risk: while the table service is down, the same key sent ' +
  'to another entry may run a second time. refuse is safe.';

const GUARANTEE = {
  item: 'guarantee',
  title: (g) => `${g.count || '?'} of ${g.shape || '?'}`,
  fresh: () => ({shape: 'worker', count: 1}),
  keys: {
    shape: {
      type: 'text',
      suggest: ['accelerators: 4', 'worker', 'workers: 3', 'rack', 'racks: 2'],
    },
    count: {type: 'number', min: 1, max: 10000},
    failure_domain: {type: 'reference', to: domainNames, optional: true},
  },
};

const ORGANISATION = {
  item: 'organisation',
  fresh: () => ({name: '', token_hashes: [], weight: 1, guarantees: []}),
  keys: {
    name: NAME,
    token_hashes: HASHES,
    weight: {type: 'number', min: 1, max: 1000},
    guarantees: {type: 'maps', of: GUARANTEE},
  },
};

const OPERATOR = {
  item: 'operator',
  fresh: () => ({name: '', token_hashes: ['']}),
  keys: {name: NAME, token_hashes: HASHES},
};

const CLASS = {
  item: 'class',
  fresh: () => ({
    name: '', kind: 'request', priority: 'normal', repeatable: false,
    deadline_ms: 60000, grace_ms: 0, checkpoint: false,
    keyed_when_table_down: 'refuse',
  }),
  keys: {
    name: NAME,
    kind: {type: 'word', words: ['request', 'job']},
    priority: {type: 'word', words: ['urgent', 'normal', 'batch']},
    repeatable: {
      type: 'flag',
      hint: 'May be started again when it is not known how the first ended.',
    },
    deadline_ms: {type: 'number', min: 0, max: 604800000,
      hint: 'Requests: at most an hour. Jobs: 0 for none.'},
    grace_ms: {type: 'number', min: 0, max: 600000,
      hint: 'Time to write a checkpoint when a guarantee is called upon.'},
    checkpoint: {type: 'flag'},
    keyed_when_table_down:
      {type: 'word', words: ['refuse', 'serve'], hint: RISK},
  },
};

const SERVICE = {
  item: 'service',
  fresh: () => ({
    name: '', organisations: [], classes: [], request_bytes: 8388608,
    answer_bytes: 8388608, queue_limit: 256,
    hedge: false,
  }),
  keys: {
    name: NAME,
    organisations: {type: 'references', to: organisationNames},
    classes: {type: 'references', to: requestClassNames,
      hint: 'The first is for requests that name no class.'},
    request_bytes: {type: 'number', min: 1, max: 67108864},
    answer_bytes: {type: 'number', min: 1, max: 67108864},
    queue_limit: {type: 'number', min: 0, max: 100000},
    hedge: {type: 'flag',
      hint: 'Sends a late repeatable request to a second worker.'},
  },
};

const WORKER = {
  item: 'worker',
  fresh: () => ({name: '', accelerators: 8}),
  keys: {name: NAME, accelerators: {type: 'number', min: 0, max: 64}},
};
const RACK = {
  item: 'rack',
  fresh: () => ({name: '', workers: []}),
  keys: {name: NAME, workers: {type: 'maps', of: WORKER}},
};
const DOMAIN = {
  item: 'failure domain',
  fresh: () => ({name: '', racks: []}),
  keys: {name: NAME, racks: {type: 'maps', of: RACK}},
};
const REGION = {
  item: 'region',
  fresh: () => ({name: '', failure_domains: [DOMAIN.fresh()]}),
  keys: {name: NAME, failure_domains: {type: 'maps', of: DOMAIN}},
};

const WEIGHT = {type: 'number', min: 0, max: 100};
const DOCUMENT = {
  keys: {
    weights: {type: 'map', of: {
      keys: {completion: WEIGHT, fragmentation: WEIGHT}}},
    organisations: {type: 'maps', of: ORGANISATION},
    classes: {type: 'maps', of: CLASS},
    services: {type: 'maps', of: SERVICE},
    operators: {type: 'maps', of: OPERATOR},
    topology: {type: 'map', of: {
      keys: {regions: {type: 'maps', of: REGION}}}},
  },
};

function names(list) {
  return (list || []).map((item) => item.name).filter(Boolean);
}

function organisationNames(doc) {
  return names(doc.organisations);
}

function requestClassNames(doc) {
  return names((doc.classes || []).filter((c) => c.kind === 'request'));
}

function domainNames(doc) {
  return ((doc.topology || {}).regions || [])
    .flatMap((region) => names(region.failure_domains));
}
