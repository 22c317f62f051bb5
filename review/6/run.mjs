/**
 * The store leaves a third of 18 machines without a response, among them the two that
 * watch it for the others. A runner then says that it is leaving, and ends a second
 * more than drain_ms later; a key is taken away.
 */
import { createClient } from '../stand-ins-2/client.mjs'
import { configurationOf, hasTrouble, openRecord, runCase, startBeats } from '../stand-ins-2/case.mjs'
import { createNodes, sleep } from '../stand-ins-2/nodes.mjs'
import { startRunner } from '../stand-ins-2/runner.mjs'
import { createStore } from '../stand-ins-2/store.mjs'

const nodeCount = 18
const refusedCount = 6
const drainMs = 2_000
const configApplyMs = 2_000
/** The runner serves on for drain_ms and a little longer, at times many seconds. */
const servesOnMs = drainMs + 1_000
const refusedForMs = 7_000
const keptKey = 'i9n73hh2b9wu3fexd9dn'
const revokedKey = 'n2ctnfzs989anu6wsjnb'
const record = openRecord(import.meta.url)

await runCase(record, async onClose => {
  const store = createStore()
  const runs = []
  const runners = await Promise.all([0, 1, 2].map(index => startRunner({ id: `i-${index}`, host: `127.61.1.${10 + index}`, workMs: 60, onRun: run => runs.push(run) })))
  const configure = (version, keys) => store.put('op/config', configurationOf({
    version,
    service: 'ledger',
    routes: ['grant', 'rights', 'holders', 'works', 'shares', 'terms', 'areas', 'names'].map(name => ({ name, kind: 'non_idempotent', attempts: 1 })),
    tenants: [{ name: 'hule930', api_keys: keys, priority: 1, rate_per_s: 0, burst: 0 }]
  }))
  configure(7, [keptKey, revokedKey])
  const beats = startBeats(store, 'ledger', runners)
  onClose(beats.close)

  const refused = new Set()
  const watchedAtMs = new Map()
  const listeners = []
  for (let index = 0; index < nodeCount; index += 1) {
    listeners.push(await store.listen(`127.61.2.${10 + index}`, path => {
      if (path.endsWith('/kv-watch')) watchedAtMs.set(index, Date.now())
      return refused.has(index) ? 'silent' : 'serve'
    }))
  }
  onClose(() => listeners.forEach(({ close }) => close()))
  const nodes = await createNodes({ count: nodeCount, hostOf: index => `127.61.0.${10 + index}`, zoneOf: index => `casa-${'abc'[index % 3]}`, storeAddressOf: index => listeners[index].address })
  onClose(nodes.stopAll)
  nodes.startAll()
  if (!await nodes.whenReady()) throw new Error('the nodes are not ready')
  // All machines are in touch after contact_ms; the nodes have agreed by then which of them watch the store.
  await sleep(8_000)

  const watching = nodes.machines.filter(({ index }) => Date.now() - (watchedAtMs.get(index) ?? 0) < 1_500)
  record.write(`${nodes.machines.length} nodes are ready; the store is watched by`, watching.map(({ name }) => name))
  if (watching.length > refusedCount) throw new Error('more nodes watch the store than are to be refused')

  const stopped = new AbortController()
  const answers = []
  const callers = nodes.machines.flatMap(machine => [keptKey, revokedKey].map(async key => {
    const client = createClient(machine.front)
    while (!stopped.signal.aborted) {
      answers.push({ machine, key, ...await client.send({ method: 'POST', path: '/grant/x', hostName: 'a.example', key, deadlineMs: 1_500, body: Buffer.alloc(200, 'g') }) })
      await sleep(50)
    }
    client.close()
  }))
  await sleep(1_500)

  const chosen = [...watching, ...nodes.machines.filter(machine => !watching.includes(machine))].slice(0, refusedCount)
  record.write(hasTrouble ? 'the store leaves these without a response:' : 'no disruption; would be refused:', chosen.map(({ name }) => name))
  if (hasTrouble) for (const { index } of chosen) refused.add(index)
  await sleep(100)
  const leavingAtMs = beats.drain(runners[0])
  record.write(`${runners[0].id} is draining, acknowledged`)
  await sleep(100)
  configure(9, [keptKey])
  const revokedAtMs = Date.now()
  record.write('version 9 without the key of half of the callers, acknowledged')
  await sleep(leavingAtMs + servesOnMs - Date.now())
  record.write(`${runners[0].id} ends`)
  await runners[0].stop()
  await sleep(refusedForMs - servesOnMs)
  refused.clear()
  record.write('the store serves all machines')
  await sleep(500)
  stopped.abort()
  await Promise.all(callers)

  const sentBy = new Map(answers.map(answer => [answer.attempt, answer]))
  for (const { attempt, machine, key, sentAtMs, tookMs, status, error } of answers) record.write('sent at', record.since(sentAtMs), attempt, 'with the', key === keptKey ? 'kept key' : 'revoked key', 'to', machine.name, 'answered', status ?? error, 'after', tookMs)
  for (const { attempt, runner, atMs } of runs) record.write('run at', record.since(atMs), attempt, 'by', runner)

  let lateRuns = 0
  let oldKeyRuns = 0
  let lostCount = 0
  for (const machine of nodes.machines) {
    const isServed = !hasTrouble || !chosen.includes(machine)
    const atLeaving = runs.filter(({ attempt, runner, atMs }) => runner === runners[0].id && sentBy.get(attempt)?.machine === machine && atMs > leavingAtMs).map(({ atMs }) => atMs - leavingAtMs)
    const withOldKey = answers.filter(answer => answer.machine === machine && answer.key === revokedKey && answer.status === 200 && answer.sentAtMs > revokedAtMs).map(({ sentAtMs }) => sentAtMs - revokedAtMs)
    record.write(machine.name, isServed ? 'in touch:' : 'refused, not judged:', `last run at the leaving runner ${Math.max(0, ...atLeaving)} ms after its acknowledgement, last run with the revoked key ${Math.max(0, ...withOldKey)} ms after that of version 9`)
    if (!isServed) continue
    lateRuns += atLeaving.filter(ms => ms > drainMs).length
    lostCount += runs.filter(({ attempt, runner, atMs }) => runner === runners[0].id && atMs > leavingAtMs + drainMs && sentBy.get(attempt)?.machine === machine && sentBy.get(attempt).status !== 200).length
    oldKeyRuns += withOldKey.filter(ms => ms > configApplyMs).length
  }
  const verdict = `machines in touch: ${lateRuns} requests reached the leaving runner later than drain_ms, ${lostCount} of them ran and were broken off; ${oldKeyRuns} requests with the revoked key ran that were sent later than config_apply_ms`
  record.write(verdict)
  console.log(verdict)
  return lateRuns === 0 && oldKeyRuns === 0
})
