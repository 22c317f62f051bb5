/** The checks of planned stops: which answers count as lost, and what a plain connection takes for complete. */
import test from 'ava'
import { openConnection } from '../../bench/soak/connection.ts'
import { createDeliveryChecks } from '../../bench/soak/delivery-checks.ts'
import { formatChunk, formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import type { Delivery, DeliveryChecks } from '../../bench/soak/delivery-checks.ts'

const process = { node: 'front-a-1', startCount: 1 }

function createDelivery (changes: Partial<Delivery>): Delivery {
  return {
    id: 'r-1',
    firstId: 'r-1',
    deadlineAtMs: 15_100,
    isLastTry: true,
    ...process,
    isIdempotent: false,
    isStream: true,
    connectionIndex: 2,
    isPipelined: false,
    startedAtMs: 100,
    sentAtMs: 100,
    endedAtMs: 7_600,
    timeoutMs: 15_000,
    readEndAtMs: undefined,
    kind: 'cut',
    cause: 'closed',
    status: undefined,
    isFromBackend: false,
    receivedBytes: 0,
    body: 'part',
    ...changes
  }
}

/** The promises that a request breaks whose node gets SIGTERM at time 0. */
function brokenBy (changes: Partial<Delivery>, record: (checks: DeliveryChecks) => void = checks => checks.onRun('r-1')): string[] {
  const checks = createDeliveryChecks()
  checks.onStop({ ...process, atMs: 0, hasLogged: true })
  checks.onLogLine('{"event":"answerNotDelivered","request":"r-1"}')
  record(checks)
  checks.onDelivery(createDelivery(changes))
  return checks.finish().broken.map(({ promise }) => promise)
}

test('an incomplete answer around a planned stop counts as lost unless the rules leave it out', t => {
  const lost = ['planned-stop']
  t.deepEqual(brokenBy({ endedAtMs: 6_600 }), lost, 'cut before the last sixth of the grace period')
  t.deepEqual(brokenBy({ sentAtMs: 3_100 }), lost, 'sent late')
  t.deepEqual(brokenBy({ sentAtMs: 3_100, endedAtMs: 3_105 }), lost, 'crossed the close, but was run')
  t.deepEqual(brokenBy({ sentAtMs: 3_100, endedAtMs: 3_400 }, () => {}), lost, 'was read, and closed later')
  t.deepEqual(brokenBy({ readEndAtMs: 6_000, endedAtMs: 3_400, status: 200 }), lost, 'a slow reader')
  t.deepEqual(brokenBy({}), [], 'its backend server was at work in the last sixth')
  t.deepEqual(brokenBy({ sentAtMs: 3_100, endedAtMs: 3_105 }, () => {}), [], 'crossed the close')
  t.deepEqual(brokenBy({ isPipelined: true, endedAtMs: 3_400 }, () => {}), [], 'was pipelined and not run')
  t.deepEqual(brokenBy({ isPipelined: true, endedAtMs: 3_400 }), lost, 'was pipelined and run')
  t.deepEqual(brokenBy({ endedAtMs: 5_200, timeoutMs: 5_000 }), [], 'its timeout was reached')
  t.deepEqual(brokenBy({ endedAtMs: performance.now() + 1_000 }, checks => {
    checks.onRun('r-1')
    checks.onKill()
  }), [], 'ended after a kill')
})

test('a part that looks complete, a false refusal, a denial, a silent loss and a process that is killed are detected', t => {
  const answer = { kind: 'complete', status: 200, isFromBackend: true, body: 'whole' } as const
  t.deepEqual(brokenBy(answer), [])
  t.deepEqual(brokenBy({ ...answer, body: 'part' }), ['whole-answer'])
  t.deepEqual(brokenBy({ status: 200, body: 'other' }), ['whole-answer'])
  t.deepEqual(brokenBy({ ...answer, status: 503, isFromBackend: false }), ['not-run'])
  t.deepEqual(brokenBy({ ...answer, status: 413, isFromBackend: false }, () => {}), ['not-denied'])
  t.deepEqual(brokenBy({ kind: 'no-end' }), ['an-end'])
  t.deepEqual(brokenBy({ id: 'r-2' }, checks => checks.onRun('r-2')), ['loss-logged'])
  const exit = { ...process, atMs: 8_000, code: null, signal: 'SIGKILL' } as const
  t.deepEqual(brokenBy(answer, checks => checks.onExit(exit)), ['process-end'])
  t.deepEqual(brokenBy(answer, checks => checks.onExit({ ...exit, code: 0, signal: null })), [])
  t.deepEqual(brokenBy(answer, checks => checks.onExit({ ...exit, startCount: 2, code: 0, signal: null })), ['process-end'], 'without SIGTERM')
})

test('streams that are cut and requests that are refused are counted by how they end', t => {
  const checks = createDeliveryChecks()
  // Everything but the kill is in the past.
  const stopAtMs = -20_000
  checks.onStop({ ...process, atMs: stopAtMs, hasLogged: true })
  const deliver = (id: string, changes: Partial<Delivery>, isRun = true): void => {
    if (isRun) checks.onRun(id)
    const { startedAtMs, sentAtMs, endedAtMs, deadlineAtMs, ...delivery } = createDelivery({ id, firstId: id, ...changes })
    checks.onDelivery({ ...delivery, startedAtMs: stopAtMs + startedAtMs, sentAtMs: stopAtMs + sentAtMs!, endedAtMs: stopAtMs + endedAtMs, deadlineAtMs: stopAtMs + deadlineAtMs })
  }
  const refusal = { kind: 'complete', status: 503 } as const
  const answer = { kind: 'complete', status: 200, isFromBackend: true, body: 'whole' } as const
  deliver('lost', { sentAtMs: 3_100 })
  deliver('excused', {})
  deliver('at deadline', { timeoutMs: 5_000 })
  deliver('not run', {}, false)
  deliver('not a stream', { isStream: false })
  deliver('served-1', { ...refusal, isLastTry: false }, false)
  deliver('served-2', { ...answer, firstId: 'served-1' })
  deliver('late-1', { ...refusal, isLastTry: false, deadlineAtMs: 7_000 }, false)
  deliver('late-2', { ...answer, firstId: 'late-1', deadlineAtMs: 7_000 })
  deliver('unserved-1', { ...refusal, isLastTry: false }, false)
  deliver('unserved-2', { ...refusal, firstId: 'unserved-1' }, false)
  deliver('given up', { ...refusal, isLastTry: false, deadlineAtMs: -1 }, false)
  deliver('open at the end', { ...refusal, isLastTry: false, deadlineAtMs: Infinity }, false)
  checks.onKill()
  deliver('ended by the kill-1', { ...refusal, isLastTry: false, deadlineAtMs: Infinity }, false)
  deliver('ended by the kill-2', { firstId: 'ended by the kill-1', endedAtMs: Infinity })
  t.deepEqual(checks.finish().calls, {
    200: 2,
    503: 7,
    cut: 5,
    'cut, not run': 1,
    'stream cut, lost': 1,
    'stream cut, excused': 1,
    'stream cut, deadline reached': 1,
    'refused, served in time': 1,
    'refused, ended otherwise': 1,
    'refused, unserved': 2
  })
})

test('an answer is complete only if its framing says so', async t => {
  const head = 'HTTP/1.1 200 OK\r\n'
  const answers: Record<string, string> = {
    '/length': formatResponse(200, {}, 'whole'),
    '/short': formatResponse(200, { 'content-length': '9' }, 'part'),
    '/chunked': `${head}transfer-encoding: chunked\r\n\r\n${formatChunk('wh')}${formatChunk('ole')}0\r\n\r\n`,
    '/unended': `${head}transfer-encoding: chunked\r\n\r\n${formatChunk('part')}`,
    '/closed': `${head}\r\nwhole`,
    '/none': ''
  }
  const server = await startRawBackend(({ target }, socket) => { socket.end(answers[target] ?? '') })
  t.teardown(server.close)
  for (const path of Object.keys(answers)) {
    const connection = await openConnection(server.port)
    const { kind, body } = await connection!.exchange({ method: 'GET', path, headers: {}, headParts: 2, partPauseMs: 5, readPauseMs: 1, timeoutMs: 5_000 })
    connection!.close()
    const isWhole = ['/length', '/chunked', '/closed'].includes(path)
    t.is(kind, isWhole ? 'complete' : 'cut', path)
    if (isWhole) t.is(String(body), 'whole', path)
  }
})
