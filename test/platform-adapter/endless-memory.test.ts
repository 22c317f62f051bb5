/** The memory of a node's process beside backend servers that send bytes without end. */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { createNodeProcess } from '../../bench/soak/node-process.ts'
import { takePortBlock } from '../../bench/soak/port-block.ts'
import { isReady, pollUntil, startTimeoutMs } from '../../bench/soak/readiness.ts'
import { readNodeFlags } from '../../scripts/node-flags.ts'
import { formatChunk, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { buildProgram } from './build-program.ts'
import { backendEntryKey, configurationKey, createBackendEntry, createConfiguration, createNodePorts, nodeSettings, notRunHeader, requestHeaders, requestIdHeader, signatureHeader, startPlatform } from './soak-deployment.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** Memory of the users' machines. */
const machineMegabytes = 350
const smallestMachineMegabytes = 250
const callerCount = 8
const callsPerCaller = 2
const readBytes = 64 * 1_024

let program = ''
test.before(() => {
  program = buildProgram()
})

/** Answers with a head and then the same bytes for as long as the connection is open. */
function createEndlessHandler (backend: string, status: number, headers: Record<string, string>, repeated: string): RawRequestHandler {
  const bytes = Buffer.from(repeated.repeat(Math.ceil(readBytes / repeated.length)))
  return (request, socket) => {
    const fields = Object.entries({ [requestIdHeader]: request.headers[requestIdHeader] ?? '', [signatureHeader]: backend, 'transfer-encoding': 'chunked', ...headers })
    socket.write([`HTTP/1.1 ${status} Status`, ...fields.map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n'))
    const write = (): void => {
      while (!socket.destroyed && socket.write(bytes));
      socket.once('drain', () => setImmediate(write))
    }
    write()
  }
}

const eventStream = { 'content-type': 'text/event-stream' }
const cases: Array<{ name: string, path: string, method: string, status: number, headers: Record<string, string>, repeated: string }> = [
  { name: 'a body', path: '/look-up/a', method: 'GET', status: 200, headers: {}, repeated: formatChunk('x') },
  { name: 'the body of an error', path: '/register/a', method: 'POST', status: 500, headers: {}, repeated: formatChunk('x') },
  { name: 'the body of a refusal', path: '/register/a', method: 'POST', status: 503, headers: { [notRunHeader]: '1' }, repeated: formatChunk('x') },
  { name: 'one line of a stream', path: '/stream/a', method: 'POST', status: 200, headers: eventStream, repeated: formatChunk('x') },
  { name: 'comments of a stream', path: '/stream/a', method: 'POST', status: 200, headers: eventStream, repeated: formatChunk(':\n\n') }
]

function send (port: number, { path, method }: { path: string, method: string }, id: string): Promise<number | undefined> {
  return new Promise(resolve => {
    const sent = httpRequest({ host: '127.0.0.1', port, path, method, headers: requestHeaders(id) }, response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('error', () => resolve(undefined))
    })
    sent.on('error', () => resolve(undefined))
    sent.end()
  })
}

// Guards against a heap that grows beyond the machine's memory before garbage is collected, as V8 sizes it by that of the host.
test('the heap of a node is limited below the memory of the smallest machine, with room for buffers', t => {
  const [, heapMegabytes] = readNodeFlags().map(flag => /^--max-old-space-size=(\d+)$/.exec(flag)).find(match => match !== null) ?? []
  t.true(Number(heapMegabytes) <= smallestMachineMegabytes * 0.7, `${heapMegabytes} MB`)
})

// Guards against a heap without its limit, as the program resets the flag that sets it.
test('the heap of a node keeps its limit when the program is loaded', t => {
  const folder = mkdtempSync(join(tmpdir(), 'heap-limit-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const reporter = join(folder, 'reporter.cjs')
  writeFileSync(reporter, 'process.on(\'exit\', () => require(\'node:fs\').writeSync(2, \'limit \' + require(\'node:v8\').getHeapStatistics().heap_size_limit))')
  // Without its settings, the node ends as soon as it is loaded.
  const { stderr } = spawnSync(process.execPath, [...readNodeFlags(), '--require', reporter, program], { env: { CYCLAMENSHUNT_SETTINGS: join(folder, 'missing') }, encoding: 'utf8' })
  const limitBytes = Number(/^limit (\d+)$/m.exec(stderr)?.[1])
  t.true(limitBytes <= smallestMachineMegabytes * 1_000_000, `${limitBytes} bytes`)
})

for (const { name, path, method, status, headers, repeated } of cases) {
  // Guards against a process that runs out of memory, and loses all its requests, because of one faulty server.
  test.serial(`a node whose backend servers send ${name} in tiny chunks without end stays within the memory of its machine`, async t => {
    const platform = await startPlatform()
    const portBlock = await takePortBlock()
    const folder = mkdtempSync(join(tmpdir(), 'memory-'))
    const { callers, readiness, control } = createNodePorts(portBlock.firstPort)
    const exits: unknown[] = []
    const storePort = Number(platform.address.split(':')[1])
    const node = createNodeProcess({
      name: 'front-a-1',
      program,
      folder,
      callersPort: callers,
      readinessPort: readiness,
      settings: isFirstStart => nodeSettings('front-a-1', portBlock.firstPort, storePort, [control], isFirstStart, { 'limits.memory_mb': String(machineMegabytes) }),
      onExit: exit => exits.push(exit)
    })
    const backends = await Promise.all(['i-1', 'i-2', 'e-1', 'e-2'].map(async id => ({ id, server: await startRawBackend(createEndlessHandler(id, status, headers, repeated)) })))
    t.teardown(async () => {
      node.kill()
      for (const { server } of backends) await server.close()
      await platform.close()
      await portBlock.close()
      rmSync(folder, { recursive: true, force: true })
    })
    platform.setEra(1)
    await platform.put(configurationKey, createConfiguration(1))
    for (const { id, server } of backends) await platform.put(backendEntryKey(id), createBackendEntry(server.port, 'ready', 1, Date.now(), id.startsWith('e')))
    node.start()
    t.true(await pollUntil(async () => await isReady(node), startTimeoutMs))
    const statuses = await Promise.all(Array.from({ length: callerCount }, async (_, caller) => {
      const received = []
      for (let call = 0; call < callsPerCaller; call += 1) received.push(await send(callers, { path, method }, `r-${caller}-${call}`))
      return received
    }))
    t.true(statuses.flat().every(received => received !== undefined && received >= 500), JSON.stringify(statuses))
    const peakBytes = node.peakMemoryBytes()
    if (peakBytes !== undefined) t.true(peakBytes <= machineMegabytes * 1_000_000, `${peakBytes} bytes`)
    t.deepEqual(exits, [])
  })
}
