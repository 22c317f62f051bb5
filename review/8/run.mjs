/**
 * One runner spoils one answer: behind the id of an event, a long run of blanks stands
 * where its data should be. All other requests of the node that reads it are looked up safely.
 */
import { createClient } from '../stand-ins-2/client.mjs'
import { configurationOf, hasTrouble, openRecord, runCase, startBeats } from '../stand-ins-2/case.mjs'
import { createNodes, sleep } from '../stand-ins-2/nodes.mjs'
import { startRunner } from '../stand-ins-2/runner.mjs'
import { createStore } from '../stand-ins-2/store.mjs'

const nodeCount = 3
const callersPerNode = 8
const timeoutMs = 800
/** Time after the route's timeout within which an answer is due. */
const slackMs = 500
const minLate = 8
const spoiledBytes = 160_000
const record = openRecord(import.meta.url)

/** The answer of an engine: a few events, and the spoiled one if there is trouble. */
function answerStream (request, response, id) {
  const attempt = request.headers['x-cyclamenshunt-attempt-id']
  response.writeHead(200, { 'x-cyclamenshunt-attempt-id': attempt, 'x-cyclamenshunt-response-seal': `${id}.${attempt}`, 'content-type': 'text/event-stream' })
  response.write('id: 1\ndata: first\n\n')
  const spoiled = hasTrouble ? `id: 2${' '.repeat(spoiledBytes)}x\n\n` : 'id: 2\ndata: second\n\n'
  response.end(`${spoiled}id: 3\ndata: third\n\n`)
}

await runCase(record, async onClose => {
  const store = createStore()
  const runs = []
  const onRun = run => runs.push(run)
  const lookups = await Promise.all([0, 1, 2].map(index => startRunner({ id: `i-${index}`, host: `127.63.1.${10 + index}`, onRun })))
  const engine = await startRunner({ id: 'i-engine', host: '127.63.1.20', onRun, answerOf: answerStream })
  const configuration = configurationOf({ version: 7, service: 'ledger', routes: [{ name: 'lookup', timeoutMs, isAnonymous: true }] })
  const streams = configurationOf({ version: 7, service: 'model', routes: [{ name: 'draft', kind: 'streaming', timeoutMs: 6_000, attempts: 1, isAnonymous: true, gap_slo_ms: 250 }] })
  store.put('op/config', { ...configuration, routes: [...configuration.routes, ...streams.routes], services: [...configuration.services, ...streams.services] })
  for (const [service, runners] of [['ledger', lookups], ['model', [engine]]]) onClose(startBeats(store, service, runners).close)
  const listener = await store.listen('127.63.2.10')
  onClose(listener.close)
  const nodes = await createNodes({ count: nodeCount, hostOf: index => `127.63.0.${10 + index}`, zoneOf: index => `casa-${'abc'[index % 3]}`, storeAddressOf: () => listener.address })
  onClose(nodes.stopAll)
  nodes.startAll()
  if (!await nodes.whenReady()) throw new Error('the nodes are not ready')
  await sleep(6_000)
  record.write(`${nodeCount} nodes are ready and in touch`)

  const stopped = new AbortController()
  const answers = []
  const callers = nodes.machines.flatMap(machine => Array.from({ length: callersPerNode }, async () => {
    const client = createClient(machine.front)
    while (!stopped.signal.aborted) {
      answers.push({ machine, ...await client.send({ path: '/lookup/x', hostName: 'a.example', deadlineMs: 1_500 }) })
      await sleep(40)
    }
    client.close()
  }))
  await sleep(2_000)
  const drafter = createClient(nodes.machines[0].front)
  record.write(hasTrouble ? 'one draft, whose answer is spoiled' : 'one draft, whose answer is sound', 'sent to', nodes.machines[0].name)
  const draft = await drafter.send({ method: 'POST', path: '/draft/x', hostName: 'a.example', deadlineMs: 6_000, body: Buffer.from('prompt') })
  record.write('the draft was answered', draft.status ?? draft.error, 'after', draft.tookMs)
  drafter.close()
  await sleep(3_000)
  stopped.abort()
  await Promise.all(callers)

  for (const { attempt, machine, sentAtMs, tookMs, status, error } of answers) record.write('sent at', record.since(sentAtMs), attempt, 'to', machine.name, 'answered', status ?? error, 'after', tookMs)
  for (const { attempt, runner, atMs } of runs) record.write('run at', record.since(atMs), attempt, 'by', runner)
  const lasting = answers.filter(({ tookMs }) => tookMs >= timeoutMs)
  const unanswered = lasting.filter(({ tookMs, status }) => status === undefined || tookMs > timeoutMs + slackMs)
  for (const machine of nodes.machines) record.write(machine.name, 'answered', answers.filter(answer => answer.machine === machine && answer.status === 200).length, 'of', answers.filter(answer => answer.machine === machine).length)
  const verdict = `${lasting.length} requests lasted longer than timeout_ms; ${unanswered.length} of them had no answer 0.5 s after it`
  record.write(verdict)
  console.log(verdict)
  return unanswered.length < minLate || unanswered.length * 2 <= lasting.length
})
