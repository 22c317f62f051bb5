/**
 * Stand-in of the platform: the metadata store, as it serves each node at a port of its own so that a case can tell the
 * nodes apart, and the API for usage reports and orders, which checks fencing tokens for each duty and subject.
 */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const answerMs = 4
const historyMs = 20_000
const leaseCheckMs = 20
const pageItems = 500

export function createPlatform (record) {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  const servers = []
  const highestFences = new Map()
  const apiCalls = []
  const history = []
  let revision = 100
  let oldestRevision = 100
  let lastLease = 1_000

  function change (key, value, lease = 0) {
    if (value === undefined) {
      if (!items.delete(key)) return
      history.push({ atMs: Date.now(), event: { key, revision, tombstone: true } })
      return
    }
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    history.push({ atMs: Date.now(), event: item })
  }

  function apply (puts, deletes) {
    revision += 1
    for (const { key, value, lease } of puts) change(key, value, lease)
    for (const key of deletes) change(key, undefined)
    const oldestMs = Date.now() - historyMs
    while (history.length > 0 && history[0].atMs < oldestMs) oldestRevision = history.shift().event.revision
    for (const watch of [...waiting]) watch.check()
  }

  const leaseTimer = setInterval(() => {
    for (const [id, { endsAtMs }] of leases) if (endsAtMs <= Date.now()) endLease(id)
  }, leaseCheckMs)

  function endLease (id) {
    leases.delete(id)
    const keys = [...items.values()].filter(({ lease }) => lease === id).map(({ key }) => key)
    if (keys.length > 0) apply([], keys)
  }

  function watch (node, prefix, after, waitMs, response) {
    if (after < oldestRevision || after > revision) return send(response, 410, {})
    const opened = { node, response, check, end }
    const timer = setTimeout(() => finish([]), waitMs)
    function finish (events) {
      end()
      send(response, 200, { events, store_revision: revision })
    }
    function end () {
      clearTimeout(timer)
      waiting.delete(opened)
    }
    function check () {
      const events = history.flatMap(({ event }) => event.revision > after && event.key.startsWith(prefix) ? [event] : [])
      if (events.length > 0) finish(events)
    }
    waiting.add(opened)
    response.on('close', end)
    check()
  }

  function transact ({ expected_rev: expected = [], puts = [], delete: deletes = [] }) {
    const written = [...puts.map(({ key }) => key), ...deletes]
    if (written.some(key => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}]
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return [404, {}]
    const isExpected = expected.every(({ key, revision: known }) => (items.get(key)?.revision ?? 0) === known)
    if (!isExpected) return [412, { items: expected.map(({ key }) => items.get(key) ?? { key, revision: 0 }) }]
    apply(puts, deletes)
    return [200, { revision }]
  }

  function grant ({ ttl_ms: ttlMs }) {
    lastLease += 1
    leases.set(lastLease, { ttlMs, endsAtMs: Date.now() + ttlMs })
    return [200, { lease: lastLease, ttl_ms: ttlMs }]
  }

  function keep (id) {
    const lease = leases.get(id)
    if (lease === undefined) return [404, {}]
    lease.endsAtMs = Date.now() + lease.ttlMs
    return [200, { lease: id, ttl_ms: lease.ttlMs }]
  }

  function callApi (duty, headers, body) {
    const holder = headers['x-cyclamenshunt-duty-holder']
    const fence = Number(headers['x-cyclamenshunt-fence-token'])
    const subject = duty === 'usage' ? 'usage' : `scale ${body.service} ${body.zone}`
    const isAccepted = fence >= (highestFences.get(subject) ?? 0)
    if (isAccepted) highestFences.set(subject, fence)
    const call = { atMs: Date.now(), duty, subject, holder, fence, isAccepted, body }
    apiCalls.push(call)
    record(`${duty} by ${holder} fence ${fence} ${isAccepted ? 'accepted' : 'refused'} ${JSON.stringify(body)}`)
    return isAccepted ? [200, {}] : [409, { error: 'a higher fence was seen' }]
  }

  function send (response, status, body) {
    if (response.destroyed) return
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(body))
  }

  async function readBody (request) {
    let text = ''
    for await (const chunk of request) text += chunk
    return text === '' ? {} : JSON.parse(text)
  }

  async function handle (node, request, response) {
    const body = await readBody(request)
    await sleep(answerMs)
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const [, name = '', id = ''] = /^\/(?:cyclamenshunt\/)?([\w-]+)\/?(.*)$/.exec(pathname) ?? []
    if (name === 'kv-watch') return watch(node, searchParams.get('path_prefix') ?? '', Number(searchParams.get('after_rev')), Number(searchParams.get('wait_ms')), response)
    if (name === 'kv-key') {
      const item = items.get(searchParams.get('key'))
      return item === undefined ? send(response, 404, { store_revision: revision }) : send(response, 200, { ...item, store_revision: revision })
    }
    if (name === 'kv-range') {
      const prefix = searchParams.get('path_prefix') ?? ''
      const after = searchParams.get('after_rev') ?? ''
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      return send(response, 200, { items: found.slice(0, pageItems), has_more: found.length > pageItems, store_revision: revision })
    }
    if (name === 'kv-txn') return send(response, ...transact(body))
    if (name === 'kv-lease') return send(response, ...grant(body))
    if (name === 'kv-keep') return send(response, ...keep(Number(id)))
    if (name === 'kv-lease-end') {
      endLease(Number(id))
      return send(response, 200, {})
    }
    if (name === 'usage' || name === 'scale') return send(response, ...callApi(name, request.headers, body))
    send(response, 404, {})
  }

  return {
    apiCalls,
    /** Serves the store and the API to one node; returns the port. */
    listen: async node => {
      const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
        handle(node, request, response).catch(() => response.destroy())
      })
      servers.push(server)
      await new Promise(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
      return server.address().port
    },
    put: (key, value) => apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: key => apply([], [key]),
    get: key => items.has(key) ? Buffer.from(items.get(key).value, 'base64').toString() : undefined,
    keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    /** Cuts the waiting watches of a node, or of all nodes, by an end of their connections without an answer; returns their number. */
    cutWatches: node => {
      const cut = [...waiting].filter(watched => node === undefined || watched.node === node)
      for (const { response, end } of cut) {
        end()
        response.socket.end()
      }
      return cut.length
    },
    close: () => {
      clearInterval(leaseTimer)
      for (const server of servers) {
        server.closeAllConnections()
        server.close()
      }
    }
  }
}
