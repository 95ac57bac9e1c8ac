/**
 * A binary min-heap.
 */
export class Heap<T> {
  private readonly items: T[] = [];

  /**
   * @param isBefore - Returns true when `left` is ordered before `right`
   */
  constructor(private readonly isBefore: (left: T, right: T) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  /** Returns the first item in order; undefined when empty. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Adds an item in O(log n). */
  push(item: T): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  /** Removes and returns the first item in O(log n). */
  pop(): T | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = this.selectEarlier(left, right);
      if (child === undefined || !this.swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  private selectEarlier(left: number, right: number): number | undefined {
    const leftItem = this.items[left];
    if (leftItem === undefined) {
      return undefined;
    }
    const rightItem = this.items[right];
    return rightItem !== undefined && this.isBefore(rightItem, leftItem)
      ? right
      : left;
  }

  private swapIfBefore(index: number, other: number): boolean {
    const item = this.items[index] as T;
    const otherItem = this.items[other] as T;
    if (!this.isBefore(item, otherItem)) {
      return false;
    }
    this.items[index] = otherItem;
    this.items[other] = item;
    return true;
  }
}
