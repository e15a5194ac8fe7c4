/** Reads YAML documents into records and gathers every fault with its line and key. */
package io.bilberrygrade.serving.document;
