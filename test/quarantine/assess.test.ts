/** Which parts of prompts are suspected, by the crashes and answers that are known. */
import test from 'ava'
import { assessFeatures, suspicionScore } from '../../src/core/quarantine/assess.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { AttemptId, BackendId, PromptPartId } from '../../src/core/ids/index.ts'
import type { AnswerCounts, CrashedAttempt } from '../../src/core/quarantine/index.ts'

const part = (name: string): PromptPartId => toId<PromptPartId>(name)

/** An attempt on a crashed server, which is named by its time in ms. */
function crashed (atMs: number, names: string[], options: { hasStarted?: boolean, inProgress?: number, server?: string } = {}): CrashedAttempt {
  const server = options.server ?? `i-${atMs}`
  return {
    attempt: toId<AttemptId>(`${server}/${names.join()}`),
    service: 'models',
    backend: toId<BackendId>(server),
    backendStartedAtMs: 1,
    features: names.map(part),
    hasStarted: options.hasStarted ?? true,
    inProgress: options.inProgress ?? 1,
    crashedAtMs: atMs
  }
}

function assess (attempts: CrashedAttempt[], answered: Record<string, AnswerCounts> = {}, answersPerSecond = 50) {
  return assessFeatures(attempts, { answered: name => answered[name] ?? { since: 0, before: 0 }, answersPerSecond: () => answersPerSecond })
}

function quarantined (attempts: CrashedAttempt[], answered: Record<string, AnswerCounts> = {}, answersPerSecond = 50): string[] {
  return assess(attempts, answered, answersPerSecond).flatMap(({ isCertain, features }) => isCertain ? [features.join('+')] : [])
}

test('a part in three crashes without an answer is quarantined, whatever comes with it', t => {
  t.deepEqual(quarantined([crashed(0, ['a', 'bad']), crashed(500, ['b', 'bad']), crashed(900, ['c', 'bad'])]), ['bad'])
})

test('one crash makes a prompt suspected, and two do not quarantine it', t => {
  t.true((assess([crashed(0, ['a', 'bad'])])[0]?.score ?? 0) >= suspicionScore)
  t.deepEqual(quarantined([crashed(0, ['a', 'bad']), crashed(500, ['b', 'bad'])]), [])
})

test('parts that always occurred together are only quarantined together, until one of them is answered', t => {
  const attempts = [crashed(0, ['a', 'bad']), crashed(500, ['a', 'bad']), crashed(900, ['a', 'bad'])]
  t.deepEqual(quarantined(attempts), ['a+bad'])
  t.deepEqual(quarantined(attempts, { a: { since: 1, before: 0 } }), ['bad'])
})

test('a popular part that is in every crashed prompt is not quarantined by itself, and not at all once it is answered', t => {
  const withPopular = [0, 300, 600, 900, 1_200].flatMap(atMs => [crashed(atMs, ['popular', 'bad']), crashed(atMs, ['popular', `document-${atMs}`], { hasStarted: false })])
  t.deepEqual(quarantined(withPopular, { popular: { since: 0, before: 9 } }), ['bad+popular'])
  t.deepEqual(quarantined(withPopular, { popular: { since: 4, before: 0 } }), ['bad'])
})

test('parts of prompts that happened to be on servers that another one crashed are not quarantined', t => {
  const attempts = Array.from({ length: 8 }, (_, index) => [crashed(index * 100, [`first-${index}`, 'bad']), crashed(index * 100, ['rare', 'seldom'])]).flat()
  t.deepEqual(quarantined(attempts.filter(({ features, crashedAtMs }) => features.includes(part('bad')) || crashedAtMs < 500)), ['bad'])
})

test('two parts that crash servers at the same time are both quarantined', t => {
  const attempts = Array.from({ length: 6 }, (_, index) => crashed(index * 300, [`first-${index}`, index % 2 === 0 ? 'bad-1' : 'bad-2']))
  t.deepEqual(quarantined(attempts).toSorted(), ['bad-1', 'bad-2'])
})

test('servers that crash at the same moment, as in a loss of power, quarantine nothing', t => {
  const attempts = Array.from({ length: 8 }, (_, index) => crashed(index, index < 5 ? ['popular', `document-${index}`] : ['other', `document-${index}`], { server: `i-${index}` }))
  t.deepEqual(quarantined(attempts), [])
})

test('prompts that were not begun when a server crashed are weak evidence, which adds up', t => {
  const attempts = (count: number): CrashedAttempt[] => Array.from({ length: count }, (_, index) => crashed(index * 500, [`first-${index}`, 'bad'], { hasStarted: false }))
  t.deepEqual(quarantined(attempts(3)), [])
  t.deepEqual(quarantined(attempts(6)), ['bad'])
})

test('a part that crashes half of the servers it is answered on is quarantined despite its answers', t => {
  const attempts = Array.from({ length: 6 }, (_, index) => crashed(index * 500, [`first-${index}`, 'bad']))
  t.deepEqual(quarantined(attempts, { bad: { since: 6, before: 0 } }), ['bad'])
})

test('answers outweigh a few crashes', t => {
  t.deepEqual(quarantined([crashed(0, ['a', 'sound']), crashed(500, ['b', 'sound']), crashed(900, ['c', 'sound'])], { sound: { since: 2, before: 0 } }), [])
})

test('crashes of a server that does not report its start are told apart by their time', t => {
  const attempts = [0, 2_000, 4_000].map(atMs => ({ ...crashed(atMs, [`first-${atMs}`, 'bad'], { server: 'i-1' }), backendStartedAtMs: undefined }))
  t.deepEqual(quarantined(attempts), ['bad'])
  t.deepEqual(quarantined(attempts.map(attempt => ({ ...attempt, crashedAtMs: 0 }))), [])
})

test('of two parts that explain the same crashes, neither is quarantined until an answer or a crash tells them apart', t => {
  const attempts = [crashed(0, ['popular', 'document']), crashed(0, ['other', 'bad']), crashed(60, ['popular', 'bad']), crashed(200, ['popular', 'bad'])]
  t.deepEqual(quarantined(attempts), [])
  t.deepEqual(quarantined(attempts, { popular: { since: 1, before: 0 } }), ['bad'])
  t.deepEqual(quarantined([...attempts, crashed(900, ['third', 'bad'])]), ['bad'])
})

test('a whole request in three crashes without an answer is certain, alone or one of twenty-four in progress', t => {
  t.deepEqual(quarantined([0, 400, 900].map(atMs => crashed(atMs, ['request:bad']))), ['request:bad'])
  t.deepEqual(quarantined([0, 400, 900].map(atMs => crashed(atMs, ['request:bad'], { inProgress: 24 }))), ['request:bad'])
  t.deepEqual(quarantined([0, 400].map(atMs => crashed(atMs, ['request:bad']))), [])
})

test('a whole request goes before the parts that explain the same crashes', t => {
  const attempts = [0, 400, 900].map(atMs => crashed(atMs, ['request:bad', 'system', 'document']))
  t.deepEqual(quarantined(attempts), ['request:bad'])
})

test('a part that crashes servers under different requests is found, although each of them is repeated until it is quarantined itself', t => {
  const attempts = [0, 400, 900, 1_400, 1_900].map(atMs => crashed(atMs, [atMs < 1_000 ? 'request:first' : 'request:second', 'bad', `own-${atMs < 1_000 ? 1 : 2}`]))
  t.true(quarantined(attempts).includes('bad'))
})

test('a sound request that a server was running at two of three crashes is told from the one that was there at all of them', t => {
  const attempts = [0, 400, 900].flatMap(atMs => [crashed(atMs, ['request:bad'], { inProgress: 2 }), ...(atMs < 900 ? [crashed(atMs, ['request:neighbour'], { inProgress: 2 })] : [])])
  t.deepEqual(quarantined(attempts), ['request:bad'])
})

test('of two requests that were in each crash neither is certain until one of them is answered', t => {
  const attempts = [0, 400, 900].flatMap(atMs => ['request:bad', 'request:neighbour'].map(name => crashed(atMs, [name], { inProgress: 2 })))
  t.deepEqual(quarantined(attempts), [])
  t.deepEqual(quarantined(attempts, { 'request:neighbour': { since: 1, before: 0 } }), ['request:bad'])
})

test('a frequent request that is answered before and between the crashes is not blamed for them', t => {
  const attempts = [0, 400, 900, 1_400].map(atMs => crashed(atMs, ['request:frequent']))
  t.deepEqual(quarantined(attempts.slice(0, 3), { 'request:frequent': { since: 0, before: 3 } }), [])
  t.deepEqual(quarantined(attempts, { 'request:frequent': { since: 3, before: 3 } }), [])
})

test('a crash beside that of a server without the request counts nothing against it, as in a loss of power', t => {
  const attempts = [0, 1, 2].flatMap(atMs => [crashed(atMs * 1_000, ['request:victim']), crashed(atMs * 1_000 + 2, ['request:elsewhere'], { server: `other-${atMs}` })])
  t.deepEqual(quarantined(attempts), [])
})
