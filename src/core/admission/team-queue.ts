/** Priority queue of one team's waiting requests; requests of equal priority stay in order of arrival. */
import type { Priority } from '../teams/types.ts'

const priorities: readonly Priority[] = ['urgent', 'normal', 'batch']

/** A queue with one FIFO queue for each priority. */
export interface TeamQueue<Item> {
  size: () => number
  /** Returns the number of items that would be served before a new one of this priority. */
  countAhead: (priority: Priority) => number
  push: (priority: Priority, item: Item) => void
  peek: () => Item | undefined
  remove: (item: Item) => void
  all: () => Item[]
}

/** Creates an empty queue. */
export function createTeamQueue<Item> (): TeamQueue<Item> {
  const queuesByPriority = new Map<Priority, Set<Item>>(priorities.map(priority => [priority, new Set<Item>()]))

  function countAhead (priority: Priority): number {
    const servedFirst = priorities.slice(0, priorities.indexOf(priority) + 1)
    return servedFirst.reduce((sum, current) => sum + (queuesByPriority.get(current)?.size ?? 0), 0)
  }

  function peek (): Item | undefined {
    for (const queue of queuesByPriority.values()) {
      const [first] = queue
      if (first !== undefined) return first
    }
    return undefined
  }

  return {
    size: () => countAhead('batch'),
    countAhead,
    push: (priority, item) => { queuesByPriority.get(priority)?.add(item) },
    peek,
    remove: item => queuesByPriority.forEach(queue => queue.delete(item)),
    all: () => [...queuesByPriority.values()].flatMap(queue => [...queue])
  }
}
